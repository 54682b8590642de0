package node

import (
	"time"

	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/router"
)

// Dump is the state of one process, encoded as JSON.
type Dump struct {
	VM            string                    `json:"vm"`
	DataCentre    string                    `json:"dataCentre"`
	Version       string                    `json:"version"`
	Time          time.Time                 `json:"time"`
	Started       time.Time                 `json:"started"`
	ConfigVersion uint64                    `json:"configVersion"`
	Settings      map[string]map[string]any `json:"settings"`
	Router        router.Dump               `json:"router"`
	Generation    any                       `json:"generation"`
	Claims        any                       `json:"claims"`
	Configuration any                       `json:"configuration"`
	Platform      any                       `json:"platform"`
	Peers         any                       `json:"peers"`
	Leases        any                       `json:"leases"`
	Orders        any                       `json:"orders"`
	Leaving       any                       `json:"leavingTargets"`
	Invariants    invariant.Report          `json:"invariants"`
	// LogLinesDropped is the number of log lines that were lost because the writer of the log was
	// stalled.
	LogLinesDropped uint64 `json:"logLinesDropped"`
}

// Dump returns the state of the process. Every part reports its state from memory and holds its
// locks only briefly, so Dump returns even while requests are stuck or the store is unavailable.
func (n *Node) Dump() any {
	return Dump{
		VM:            n.settings.VM.Name,
		DataCentre:    n.settings.VM.DataCentre,
		Version:       n.version,
		Time:          time.Now(),
		Started:       n.started,
		ConfigVersion: n.store.Current().Version,
		Settings:      n.settings.Redacted(),
		Router:        n.router.Dump(),
		Generation:    n.runner.Dump(),
		Claims:        n.claims.Dump(),
		Platform:      n.platform.Dump(),
		Configuration: n.store.Dump(),
		Peers:         n.peers.Dump(),
		Leases:        n.leases.Dump(),
		Orders:        n.orders.Dump(),
		Leaving:       n.tracker.Dump(),
		Invariants:    n.invariants.Report(),

		LogLinesDropped: n.logDropped(),
	}
}
