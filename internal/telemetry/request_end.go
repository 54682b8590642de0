package telemetry

import (
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/outcome"
)

// RequestEnd describes the end of a request for the log. It deliberately has no field for a
// body, a key or a token.
type RequestEnd struct {
	RequestID string
	Profile   string
	Workspace string
	Urgency   config.Urgency
	Outcome   outcome.Outcome
	Reason    outcome.Reason
	Detail    string
	// Took is the duration of the request.
	Took time.Duration
	// Tokens is the number of tokens sent to the caller.
	Tokens int
	// Cause may be nil.
	Cause error
}

// LogEnd logs one line for a request that was not run (info) or whose outcome is unknown
// (warn). It logs nothing for a complete request.
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
