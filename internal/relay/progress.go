package relay

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// progress is how a generation went.
type progress struct {
	// path is the last one that it was sent along.
	path string
	// first is the time from the arrival to the first event, longest the longest pause
	// between two events.
	first   time.Duration
	longest time.Duration
	last    time.Time
	sends   int
	// moves counts the changes of path without another send. The watch of a stalled
	// stream writes it.
	moves atomic.Int32
}

// event notes that an event came.
func (p *progress) event(arrival, now time.Time) {
	if p.last.IsZero() {
		p.first = now.Sub(arrival)
	} else {
		p.longest = max(p.longest, now.Sub(p.last))
	}
	p.last = now
}

func (p *progress) fields() []zap.Field {
	if p.path == "" {
		return nil
	}
	return []zap.Field{
		zap.String("path", p.path), zap.Duration("firstEvent", p.first), zap.Duration("longestPause", p.longest),
		zap.Int("sends", p.sends), zap.Int32("moves", p.moves.Load()),
	}
}
