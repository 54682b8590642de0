package allocator

import (
	"time"

	"go.uber.org/zap"
)

const (
	// firstAvoidance is how long a candidate that did not answer is passed over. Each further failure doubles
	// it, up to maxAvoidance.
	firstAvoidance = time.Second
	maxAvoidance   = 8 * time.Second
)

// avoidance is how long a candidate is passed over.
type avoidance struct {
	until    time.Time
	failures int
}

// failed returns the avoidance after one more failure.
func (a avoidance) failed(now time.Time) avoidance {
	return avoidance{until: now.Add(min(maxAvoidance, firstAvoidance<<min(a.failures, 8))), failures: a.failures + 1}
}

// choose connects to the best candidate that is not passed over, unless it is in use or connected to
// already. The allocator in use stays until the better one has answered. c.mu is held.
func (c *Client) choose(now time.Time) {
	best, found := c.best(now)
	switch {
	case !found:
	case c.link != nil && c.link.name == best.Name:
		c.discardNext()
	case c.next != nil && c.next.name == best.Name:
	case best.Name == c.name:
		c.discardNext()
		c.use(&link{name: best.Name, self: true})
	default:
		c.discardNext()
		l := newLink(best)
		c.next = l
		go l.run(c.dialer, c.name, func() { c.onReady(l) }, func(err error) { c.fail(l, err.Error()) })
	}
}

// best returns the first candidate that is not passed over.
func (c *Client) best(now time.Time) (vm VM, found bool) {
	for _, vm := range c.candidates {
		if !now.Before(c.avoided[vm.Name].until) {
			return vm, true
		}
	}
	return VM{}, false
}

// discardNext closes the link to a candidate that is not wanted any more. c.mu is held.
func (c *Client) discardNext() {
	if c.next != nil {
		c.next.close()
		c.next = nil
	}
}

// onReady uses a candidate that has answered.
func (c *Client) onReady(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next != l {
		return
	}
	c.next = nil
	delete(c.avoided, l.name)
	c.use(l)
}

// use makes a link the one in use, and tells the allocator which paths this VM has. The earlier link stays
// open for a moment, for the answers that are on their way. c.mu is held.
func (c *Client) use(l *link) {
	if earlier := c.link; earlier != nil {
		time.AfterFunc(closeDelay, earlier.close)
	}
	c.link = l
	c.logger.Info("allocator chosen", zap.String("allocator", l.name), zap.Int("paths", len(c.held)))
	for id, held := range c.held {
		if !l.self && held.reservation != nil {
			held.reservation.Forget()
			held.reservation = nil
		}
		c.tell(id, held)
	}
}

// fail passes over the candidate of a link for a while.
func (c *Client) fail(l *link, cause string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link != l && c.next != l {
		return
	}
	now := time.Now()
	c.avoided[l.name] = c.avoided[l.name].failed(now)
	c.logger.Warn("allocator not available", zap.String("allocator", l.name), zap.Bool("inUse", c.link == l), zap.String("cause", cause))
	if c.link == l {
		c.link = nil
	} else {
		c.next = nil
	}
	l.close()
	c.choose(now)
}
