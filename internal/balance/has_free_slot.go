package balance

import "geraniumcroft/internal/config"

// HasFreeSlot reports whether a request of the urgency would get a slot on the target now. It
// reserves nothing.
func (b *Balancer) HasFreeSlot(name string, u config.Urgency) bool {
	t := b.view.Load().targets[name]
	return t != nil && t.hasFreeSlot(u)
}
