package orders

import (
	"time"

	"geraniumcroft/internal/engine"
)

// pending is an order that was sent and whose effect was not read back.
type pending struct {
	order engine.Order
	// ended is when the call ended; a pause inside the call counts to the call.
	ended time.Time
	// ambiguous says that there was no answer.
	ambiguous bool
}

// mayBeUnderWay reports whether the order can still take effect.
func (p *pending) mayBeUnderWay(now time.Time, longest time.Duration) bool {
	return p != nil && now.Sub(p.ended) < longest
}
