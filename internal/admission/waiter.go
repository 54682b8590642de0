package admission

import (
	"time"

	"geraniumcroft/internal/outcome"
)

// waiter is one queued request. All fields but done and failure are guarded by
// the pool's lock; failure is written before done is closed.
type waiter struct {
	request   *Request
	try       func() bool
	queuedAt  time.Time
	lastStart time.Time
	class     int
	flow      *flow

	// passed counts the requests that started before it out of their turn.
	passed  int
	settled bool
	done    chan struct{}
	failure *outcome.Failure

	links [listOrders]listLinks
}

func newWaiter(r *Request, try func() bool, now time.Time, maxWait time.Duration) *waiter {
	lastStart := r.lastStart(now, maxWait)
	return &waiter{
		request:   r,
		try:       try,
		queuedAt:  now,
		lastStart: lastStart,
		class:     classOf(lastStart.Sub(now)),
		done:      make(chan struct{}),
	}
}

func (w *waiter) settle(failure *outcome.Failure) {
	w.settled = true
	w.failure = failure
	close(w.done)
}

// tooLate reports whether the request can no longer start in time.
func (w *waiter) tooLate(now time.Time) bool {
	return now.After(w.lastStart)
}
