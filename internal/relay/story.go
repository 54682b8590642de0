package relay

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// maxChapters bounds what is kept of one request.
const maxChapters = 32

// story keeps the decisions on one request until it ends. A request that completes
// leaves one line; one that does not leaves them all, so nothing about a failure is
// ever sampled away while the volume stays bounded by the failures.
type story struct {
	id       string
	chapters []chapter
	omitted  int
}

type chapter struct {
	at     time.Time
	event  string
	fields []zapcore.Field
}

func (s *story) add(event string, fields ...zapcore.Field) {
	if len(s.chapters) == maxChapters {
		s.omitted++
		return
	}
	s.chapters = append(s.chapters, chapter{at: time.Now(), event: event, fields: fields})
}

func (s *story) write(logger *zap.Logger) {
	for _, c := range s.chapters {
		fields := append([]zapcore.Field{zap.String("requestId", s.id), zap.Time("at", c.at)}, c.fields...)
		logger.Warn(c.event, fields...)
	}
	if s.omitted > 0 {
		logger.Warn("decisions omitted", zap.String("requestId", s.id), zap.Int("count", s.omitted))
	}
}
