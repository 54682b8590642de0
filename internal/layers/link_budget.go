package layers

import "time"

const (
	// linkTargetUse is the fraction of a link between two data centres that all VMs together
	// may plan to use. Transfers are sent one after another: at half of the bandwidth a
	// transfer waits on average for half of another one, near the full bandwidth for dozens.
	linkTargetUse = 0.5
	// linkBurst is the time for which a VM may accumulate its unused part of a link.
	linkBurst = 2 * time.Second
)

// linkBudget is a token bucket for this VM's part of the link between two data centres.
// Without it, VMs use paths that cross between data centres whenever their own data centre
// is short of capacity. Each prompt that crosses delays all others, requests then keep
// their memory for longer, and even more of them cross.
type linkBudget struct {
	// available is how many bytes may be sent now. It falls below zero when a request
	// sends more than was accumulated, and no request crosses until that is paid back.
	available float64
	at        time.Time
}

// allows reports whether a request may cross now.
func (b *linkBudget) allows(now time.Time, rate float64) bool {
	b.refill(now, rate)
	return b.available > 0
}

// spend records that a request crosses and sends the given number of bytes.
func (b *linkBudget) spend(now time.Time, rate, bytes float64) {
	b.refill(now, rate)
	b.available -= bytes
}

// refill adds what has accumulated since the last call at the given rate, in bytes a second.
func (b *linkBudget) refill(now time.Time, rate float64) {
	most := rate * linkBurst.Seconds()
	if b.at.IsZero() {
		b.available = most
	} else {
		b.available = min(most, b.available+rate*now.Sub(b.at).Seconds())
	}
	b.at = now
}
