package admission

import "time"

const (
	// maxWakeRounds limits the batches that one caller starts for wake-ups. The rest is
	// started by another goroutine after wakeDelay.
	maxWakeRounds = 4
	wakeDelay     = time.Millisecond
)

// serveWakes starts queued requests for the pending wake-ups. It never waits for the lock:
// the caller may be about to answer a request, or may hold the lock itself, which would
// be a deadlock. No wake-up is lost, because each holder of the lock checks for pending
// wake-ups after it has released the lock.
func (p *pool) serveWakes() {
	for range maxWakeRounds {
		if !p.wakePending.Load() || !p.mu.TryLock() {
			return
		}
		p.wakePending.Store(false)
		more := p.startBatch(time.Now())
		p.mu.Unlock()
		if more {
			p.wakePending.Store(true)
		}
	}
	if p.wakePending.Load() {
		time.AfterFunc(wakeDelay, p.serveWakes)
	}
}

// release releases the lock and serves the wake-ups that became pending in the
// meantime.
func (p *pool) release() {
	p.mu.Unlock()
	if p.wakePending.Load() {
		go p.serveWakes()
	}
}
