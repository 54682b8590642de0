package admission

import "time"

const (
	// wakeRounds bounds how long one caller serves wake-ups, and wakePause is when
	// the rest is served.
	wakeRounds = 4
	wakePause  = time.Millisecond
)

// serveWakes starts queued requests for the wake-ups that came so far. A wake-up
// never waits for the lock: its caller is about to answer a request, or holds the
// lock itself and would wait for good. Whoever holds the lock looks for wake-ups
// after giving it up, so none is lost.
func (p *pool) serveWakes() {
	for range wakeRounds {
		if !p.woken.Load() || !p.mu.TryLock() {
			return
		}
		p.woken.Store(false)
		more := p.startSome(time.Now())
		p.mu.Unlock()
		if more {
			p.woken.Store(true)
		}
	}
	if p.woken.Load() {
		time.AfterFunc(wakePause, p.serveWakes)
	}
}

// release gives up the lock and has the wake-ups served that came meanwhile.
func (p *pool) release() {
	p.mu.Unlock()
	if p.woken.Load() {
		go p.serveWakes()
	}
}
