package entry

import (
	"go.uber.org/zap"

	"geraniumcroft/internal/mirror"
	"geraniumcroft/internal/settings"
)

// Reload takes over what may change while the process runs: the peers to ask first.
func (p *Process) Reload(s *settings.Settings) {
	p.peers.SetPeers(mirror.Peers{Fallback: s.Peers.Seeds})
	p.Logger.Info("settings reloaded", zap.Strings("seeds", s.Peers.Seeds))
}
