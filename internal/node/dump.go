package node

import (
	"time"

	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/router"
)

// Dump is the state of one process on request.
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
	// LogLinesDropped counts lines that a stalled log writer lost.
	LogLinesDropped uint64 `json:"logLinesDropped"`
}

// Dump returns the process's state. Every part answers from memory under short
// locks, so it answers while requests are stuck or the store is out.
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
