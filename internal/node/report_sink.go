package node

import (
	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/drain"
	"geraniumcroft/internal/engine"
)

// reportSink passes load reports to the balancer and to the drain tracker.
type reportSink struct {
	*balance.Balancer
	tracker *drain.Tracker
}

// Report implements watch.Sink.
func (r reportSink) Report(target string, report engine.LoadReport) {
	r.Balancer.Report(target, report)
	r.tracker.Report(target, report)
}
