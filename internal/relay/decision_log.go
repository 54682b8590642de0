package relay

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// maxDecisions bounds the decisions that are kept for one request.
const maxDecisions = 32

// decisionLog collects the decisions on one request until it ends. A request that completes is
// logged as one line; one that does not is logged with all its decisions. So no detail of a failure
// is lost to sampling, while the log volume is bounded by the number of failures.
type decisionLog struct {
	id        string
	decisions []decision
	omitted   int
}

// decision is one log line that is written if the request fails.
type decision struct {
	at     time.Time
	event  string
	fields []zapcore.Field
}

// add records a decision, or counts it if there are maxDecisions already.
func (l *decisionLog) add(event string, fields ...zapcore.Field) {
	if len(l.decisions) == maxDecisions {
		l.omitted++
		return
	}
	l.decisions = append(l.decisions, decision{at: time.Now(), event: event, fields: fields})
}

// write logs all decisions at level warn.
func (l *decisionLog) write(logger *zap.Logger) {
	for _, d := range l.decisions {
		fields := append([]zapcore.Field{zap.String("requestId", l.id), zap.Time("at", d.at)}, d.fields...)
		logger.Warn(d.event, fields...)
	}
	if l.omitted > 0 {
		logger.Warn("decisions omitted", zap.String("requestId", l.id), zap.Int("count", l.omitted))
	}
}
