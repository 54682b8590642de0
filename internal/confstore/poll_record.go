package confstore

import (
	"sync"
	"time"
)

// pollRecord holds the results of the last polls for the dump. It is safe for concurrent
// use.
type pollRecord struct {
	mu      sync.Mutex // guards the fields below
	last    time.Time  // time of the last successful poll
	lastErr error      // error of the last poll
}

// record records the result of a poll.
func (r *pollRecord) record(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastErr = err
	if err == nil {
		r.last = time.Now()
	}
}

// get returns the time of the last successful poll and the error of the last poll.
func (r *pollRecord) get() (last time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last, r.lastErr
}
