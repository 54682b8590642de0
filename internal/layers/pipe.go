package layers

import "time"

const (
	// pipeUse is the part of a link between two data centres that all VMs together may
	// plan to fill. Transfers go one after another; at half of the rate a transfer waits
	// on average for half of another one, near the full rate for dozens.
	pipeUse = 0.5
	// pipeBurst is for how long a VM may save up its part.
	pipeBurst = 2 * time.Second
)

// pipe is this VM's part of the link between two data centres. Without it the VMs turn
// to paths that cross whenever their own data centre is short of room; each crossing
// prompt delays all others, requests hold their room for longer, and more of them
// cross.
type pipe struct {
	// left is what may be sent now, in bytes. It falls below zero with a request larger
	// than what was saved up, which is then paid back.
	left float64
	at   time.Time
}

// open reports whether a request may cross now.
func (p *pipe) open(now time.Time, rate float64) bool {
	p.refill(now, rate)
	return p.left > 0
}

// take notes that a request crosses with so many bytes.
func (p *pipe) take(now time.Time, rate, bytes float64) {
	p.refill(now, rate)
	p.left -= bytes
}

// refill adds what the rate, in bytes a second, has brought since the last look.
func (p *pipe) refill(now time.Time, rate float64) {
	most := rate * pipeBurst.Seconds()
	if p.at.IsZero() {
		p.left = most
	} else {
		p.left = min(most, p.left+rate*now.Sub(p.at).Seconds())
	}
	p.at = now
}
