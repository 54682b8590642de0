package confstore

import (
	"sync"
	"time"
)

// readRecord remembers how the last polls ended, for the dump.
type readRecord struct {
	mu      sync.Mutex // guards the fields below
	last    time.Time
	lastErr error
}

func (r *readRecord) note(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastErr = err
	if err == nil {
		r.last = time.Now()
	}
}

func (r *readRecord) get() (last time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last, r.lastErr
}
