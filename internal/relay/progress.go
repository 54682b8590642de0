package relay

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// progress is how a generation went. The log's line of a completed stream has it, so
// that a stream which was late says where its time went.
type progress struct {
	// path is the last one that it was sent along.
	path string
	// waited is the time that it waited for room before its first event.
	waited time.Duration
	// first is the time from the arrival to the first event, longest the longest pause
	// between two events.
	first   time.Duration
	longest time.Duration
	last    time.Time
	// ended is what ended the longest pause.
	ended pauseEnd
	sends int
	// moves counts the changes of path without another send. The watch of a stalled
	// stream writes it.
	moves atomic.Int32
	// sendsThen and movesThen are what they were at the last event.
	sendsThen int
	movesThen int32
	// fault is the replica that was last left, and evidence who told of it.
	fault    string
	evidence string
}

// pauseEnd is what let a stream go on after a pause.
type pauseEnd string

const (
	pauseByItself pauseEnd = "came back by itself"
	pauseMoved    pauseEnd = "moved"
	pauseSentAnew pauseEnd = "sent anew"
)

// event notes that an event came.
func (p *progress) event(arrival, now time.Time) {
	if p.last.IsZero() {
		p.first = now.Sub(arrival)
	} else if pause := now.Sub(p.last); pause > p.longest {
		p.longest, p.ended = pause, p.pauseEnd()
	}
	p.last = now
	p.sendsThen, p.movesThen = p.sends, p.moves.Load()
}

// pauseEnd says what has changed since the last event.
func (p *progress) pauseEnd() pauseEnd {
	switch {
	case p.sends > p.sendsThen:
		return pauseSentAnew
	case p.moves.Load() > p.movesThen:
		return pauseMoved
	}
	return pauseByItself
}

// waitedFor notes that a send had to wait for room.
func (p *progress) waitedFor(took time.Duration) {
	if p.last.IsZero() {
		p.waited += took
	}
}

// left notes that a send left a replica, and on whose word.
func (p *progress) left(address, evidence string) {
	p.fault, p.evidence = address, evidence
}

func (p *progress) fields() []zap.Field {
	if p.path == "" {
		return nil
	}
	fields := []zap.Field{
		zap.String("path", p.path), zap.Duration("waited", p.waited), zap.Duration("firstEvent", p.first), zap.Duration("longestPause", p.longest),
		zap.Int("sends", p.sends), zap.Int32("moves", p.moves.Load()),
	}
	if p.longest > 0 {
		fields = append(fields, zap.String("pauseEnded", string(p.ended)))
	}
	if p.fault != "" {
		fields = append(fields, zap.String("fault", p.fault), zap.String("evidence", p.evidence))
	}
	return fields
}
