package orders

import (
	"time"

	"geraniumcroft/internal/engine"
)

// pending is an order that was sent and whose effect was not read back.
type pending struct {
	order engine.Order
	// returnedAt is when the call returned. A pause of the VM during the call is thus not part of
	// the time since then.
	returnedAt time.Time
	// ambiguous says that the answer was lost.
	ambiguous bool
}

// mayTakeEffect reports whether the order can still take effect.
func (p *pending) mayTakeEffect(now time.Time, longest time.Duration) bool {
	return p != nil && now.Sub(p.returnedAt) < longest
}
