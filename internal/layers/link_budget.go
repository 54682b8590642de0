package layers

import "time"

const (
	// linkTargetUse is the part of a link between two data centres that all VMs together may
	// plan to fill. Transfers go one after another; at half of the rate a transfer waits
	// on average for half of another one, near the full rate for dozens.
	linkTargetUse = 0.5
	// linkBurst is for how long a VM may save up its part.
	linkBurst = 2 * time.Second
)

// linkBudget is this VM's part of the link between two data centres. Without it the VMs turn
// to paths that cross whenever their own data centre is short of room; each crossing
// prompt delays all others, requests hold their room for longer, and more of them
// cross.
type linkBudget struct {
	// available is what may be sent now, in bytes. It falls below zero with a request larger
	// than what was saved up, which is then paid back.
	available float64
	at        time.Time
}

// allows reports whether a request may cross now.
func (p *linkBudget) allows(now time.Time, rate float64) bool {
	p.refill(now, rate)
	return p.available > 0
}

// spend notes that a request crosses with so many bytes.
func (p *linkBudget) spend(now time.Time, rate, bytes float64) {
	p.refill(now, rate)
	p.available -= bytes
}

// refill adds what the rate, in bytes a second, has brought since the last look.
func (p *linkBudget) refill(now time.Time, rate float64) {
	most := rate * linkBurst.Seconds()
	if p.at.IsZero() {
		p.available = most
	} else {
		p.available = min(most, p.available+rate*now.Sub(p.at).Seconds())
	}
	p.at = now
}
