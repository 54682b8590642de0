package telemetry

import (
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/outcome"
)

// RequestEnd is how a request ended, as it is logged and counted. It has no field
// for a body, a key or a token.
type RequestEnd struct {
	RequestID string
	Profile   string
	Workspace string
	Urgency   config.Urgency
	Outcome   outcome.Outcome
	Reason    outcome.Reason
	Detail    string
	Took      time.Duration
	Tokens    int
	// Cause may be nil.
	Cause error
}

// LogEnd writes one line for a request that was refused or ended unknown, and
// none for a complete one.
func LogEnd(logger *zap.Logger, e RequestEnd) {
	if e.Outcome == outcome.Complete {
		return
	}
	message, level := "request refused", zap.InfoLevel
	if e.Outcome == outcome.Unknown {
		message, level = "request ended unknown", zap.WarnLevel
	}
	line := logger.Check(level, message)
	if line == nil {
		return
	}
	line.Write(
		zap.String("requestId", e.RequestID),
		zap.String("profile", e.Profile),
		zap.String("workspace", e.Workspace),
		zap.Stringer("urgency", e.Urgency),
		zap.Stringer("outcome", e.Outcome),
		zap.String("reason", string(e.Reason)),
		zap.String("detail", e.Detail),
		zap.Duration("took", e.Took),
		zap.Int("tokens", e.Tokens),
		zap.NamedError("cause", e.Cause),
	)
}
