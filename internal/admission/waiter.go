package admission

import (
	"time"

	"geraniumcroft/internal/outcome"
)

// waiter is one queued request. All fields except done and failure are guarded by the
// lock of the pool. failure is written before done is closed and may be read after that.
type waiter struct {
	request       *Request
	try           func() bool
	queuedAt      time.Time
	startDeadline time.Time
	class         int
	flow          *flow // nil for a resumed request

	// bypassed counts the requests that bypassed this one.
	bypassed int
	resolved bool
	done     chan struct{}
	failure  *outcome.Failure

	links [listOrderCount]listLinks
}

func newWaiter(r *Request, try func() bool, now time.Time, maxWait time.Duration) *waiter {
	startDeadline := r.startDeadline(now, maxWait)
	return &waiter{
		request:       r,
		try:           try,
		queuedAt:      now,
		startDeadline: startDeadline,
		class:         classOf(startDeadline.Sub(now)),
		done:          make(chan struct{}),
	}
}

// resolve ends the wait. failure is nil if the request was started.
func (w *waiter) resolve(failure *outcome.Failure) {
	w.resolved = true
	w.failure = failure
	close(w.done)
}

// expired reports whether the start deadline has passed.
func (w *waiter) expired(now time.Time) bool {
	return now.After(w.startDeadline)
}
