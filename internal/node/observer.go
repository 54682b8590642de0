package node

import (
	"geraniumcroft/internal/router"
	"geraniumcroft/internal/telemetry"
)

// observer passes what the router measures on to the metrics.
type observer struct {
	*telemetry.Recorder
}

// Ended implements router.Observer.
func (o observer) Ended(r router.Record) {
	o.RequestEnded(r.Outcome, r.Reason, r.Urgency, r.Workspace, r.Took)
}
