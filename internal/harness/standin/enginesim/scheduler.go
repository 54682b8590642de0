package enginesim

import (
	"container/heap"
	"time"
)

const (
	// prefillChunk is the work, in units of one generated token, after which a more
	// urgent activation may preempt a long prompt.
	prefillChunk = 4.0
	// maxClockLag is the maximum time by which the virtual accelerator's clock may be
	// behind real time.
	maxClockLag = 20 * time.Millisecond
)

// scheduler is the queue of a virtual accelerator that processes one activation at a
// time. Its times are those at which the accelerator would have started and finished
// work, so that the rate does not depend on the precision of timers. It is guarded by
// the engine's lock.
type scheduler struct {
	ready     readyQueue
	delayed   delayedQueue
	busy      *activation
	busyUntil time.Time // when the work on busy is done, or was done on its predecessor
	chunk     float64
	seq       uint64
}

func (s *scheduler) add(a *activation) {
	s.seq++
	a.seq = s.seq
	heap.Push(&s.delayed, a)
}

// admitArrived moves the activations that have arrived by now to the ready queue.
func (s *scheduler) admitArrived(now time.Time) {
	for len(s.delayed) > 0 && !s.delayed[0].at.After(now) {
		heap.Push(&s.ready, heap.Pop(&s.delayed))
	}
}

// next returns the time at which the next work is due. ok is false if there is none.
func (s *scheduler) next() (at time.Time, ok bool) {
	if s.busy != nil {
		return s.busyUntil, true
	}
	if len(s.delayed) > 0 {
		return s.delayed[0].at, true
	}
	return time.Time{}, false
}

// begin starts a chunk of an activation and sets the time at which it is done.
func (s *scheduler) begin(a *activation, now time.Time, perToken time.Duration) {
	start := s.busyUntil
	if a.at.After(start) {
		start = a.at
	}
	if earliest := now.Add(-maxClockLag); start.Before(earliest) {
		start = earliest
	}
	s.busy = a
	s.chunk = min(a.work, prefillChunk)
	s.busyUntil = start.Add(time.Duration(s.chunk * float64(perToken)))
}
