package entry

import (
	"go.uber.org/zap"

	"geraniumcroft/internal/settings"
)

// Reload applies the settings that may change while the process runs: the seed peers. What this VM has learnt
// of other VMs stays.
func (p *Process) Reload(s *settings.Settings) {
	p.peerSelection.setSeeds(s.Peers.Seeds)
	p.Logger.Info("settings reloaded", zap.Strings("seeds", s.Peers.Seeds))
}
