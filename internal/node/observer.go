package node

import (
	"go.uber.org/zap"

	"geraniumcroft/internal/router"
	"geraniumcroft/internal/telemetry"
)

// observer records the router's measurements in the metrics and the log.
type observer struct {
	*telemetry.Recorder
	logger *zap.Logger
}

// Ended implements router.Observer.
func (o observer) Ended(r router.Record) {
	o.RequestEnded(r.Outcome, r.Reason, r.Urgency, r.Workspace, r.Took)
	telemetry.LogEnd(o.logger, telemetry.RequestEnd{
		RequestID: r.RequestID, Profile: r.Profile, Workspace: r.Workspace, Urgency: r.Urgency,
		Outcome: r.Outcome, Reason: r.Reason, Detail: r.Detail, Took: r.Took, Tokens: r.Tokens, Cause: r.Cause,
	})
}
