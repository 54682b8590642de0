package relay

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// progress records the course of a generation. It is part of the request's log line, so that the
// line shows what a late stream spent its time on.
type progress struct {
	// path is the last path that the request was sent along.
	path string
	// waited is the time spent waiting for capacity before the first event.
	waited time.Duration
	// firstEvent is the time from the arrival to the first event, longestPause the longest pause
	// between two events.
	firstEvent   time.Duration
	longestPause time.Duration
	lastEvent    time.Time
	// endedBy is what ended the longest pause.
	endedBy pauseEnd
	sends   int
	// moves counts the changes of path without another send. The stall watch updates it.
	moves atomic.Int32
	// sendsAtLastEvent and movesAtLastEvent are the values of sends and moves at the last event.
	sendsAtLastEvent int
	movesAtLastEvent int32
	// fault is the address of the replica that was left last, evidence the reason for leaving it.
	fault    string
	evidence string
}

// pauseEnd is what ended a pause of a stream.
type pauseEnd string

const (
	pauseByItself pauseEnd = "came back by itself"
	pauseMoved    pauseEnd = "moved"
	pauseSentAnew pauseEnd = "sent anew"
)

// recordEvent records the arrival of an event.
func (p *progress) recordEvent(arrival, now time.Time) {
	if p.lastEvent.IsZero() {
		p.firstEvent = now.Sub(arrival)
	} else if pause := now.Sub(p.lastEvent); pause > p.longestPause {
		p.longestPause, p.endedBy = pause, p.pauseEnd()
	}
	p.lastEvent = now
	p.sendsAtLastEvent, p.movesAtLastEvent = p.sends, p.moves.Load()
}

// pauseEnd returns what has changed since the last event.
func (p *progress) pauseEnd() pauseEnd {
	switch {
	case p.sends > p.sendsAtLastEvent:
		return pauseSentAnew
	case p.moves.Load() > p.movesAtLastEvent:
		return pauseMoved
	}
	return pauseByItself
}

// addWait records that a send waited for capacity.
func (p *progress) addWait(took time.Duration) {
	if p.lastEvent.IsZero() {
		p.waited += took
	}
}

// replicaLeft records that a send left a replica, and on what evidence.
func (p *progress) replicaLeft(address, evidence string) {
	p.fault, p.evidence = address, evidence
}

// fields returns the log fields of a generation, nil if it was never sent.
func (p *progress) fields() []zap.Field {
	if p.path == "" {
		return nil
	}
	fields := []zap.Field{
		zap.String("path", p.path), zap.Duration("waited", p.waited), zap.Duration("firstEvent", p.firstEvent), zap.Duration("longestPause", p.longestPause),
		zap.Int("sends", p.sends), zap.Int32("moves", p.moves.Load()),
	}
	if p.longestPause > 0 {
		fields = append(fields, zap.String("pauseEnded", string(p.endedBy)))
	}
	if p.fault != "" {
		fields = append(fields, zap.String("fault", p.fault), zap.String("evidence", p.evidence))
	}
	return fields
}
