package node

import (
	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/drain"
	"geraniumcroft/internal/engine"
)

// reports hands a target's load report to all who need it.
type reports struct {
	*balance.Balancer
	tracker *drain.Tracker
}

// Report implements watch.Sink.
func (r reports) Report(target string, report engine.LoadReport) {
	r.Balancer.Report(target, report)
	r.tracker.Report(target, report)
}
