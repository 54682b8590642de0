package enginesim

import (
	"container/heap"
	"time"
)

const (
	// prefillChunk is the work, in generated tokens' worth, after which a more
	// urgent activation may go ahead of a long prompt.
	prefillChunk = 4.0
	// maxBehind bounds how far the virtual accelerator's clock may be behind.
	maxBehind = 20 * time.Millisecond
)

// scheduler is the queue of a virtual accelerator that works on one activation at
// a time. Times are those at which things would have happened on it, so that the
// rate does not depend on how exact timers are.
type scheduler struct {
	ready   readyQueue
	delayed delayedQueue
	busy    *activation
	until   time.Time // when busy is done, or when the last one was
	chunk   float64
	seq     uint64
}

func (s *scheduler) add(a *activation) {
	s.seq++
	a.seq = s.seq
	heap.Push(&s.delayed, a)
}

// arrive moves what has arrived by now to the ready queue.
func (s *scheduler) arrive(now time.Time) {
	for len(s.delayed) > 0 && !s.delayed[0].at.After(now) {
		heap.Push(&s.ready, heap.Pop(&s.delayed))
	}
}

// next returns when there is something to do; ok is false when there is nothing.
func (s *scheduler) next() (at time.Time, ok bool) {
	if s.busy != nil {
		return s.until, true
	}
	if len(s.delayed) > 0 {
		return s.delayed[0].at, true
	}
	return time.Time{}, false
}

// begin starts on an activation and returns when a chunk of it is done.
func (s *scheduler) begin(a *activation, now time.Time, perToken time.Duration) {
	start := s.until
	if a.at.After(start) {
		start = a.at
	}
	if earliest := now.Add(-maxBehind); start.Before(earliest) {
		start = earliest
	}
	s.busy = a
	s.chunk = min(a.work, prefillChunk)
	s.until = start.Add(time.Duration(s.chunk * float64(perToken)))
}
