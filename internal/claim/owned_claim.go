package claim

import (
	"time"

	"geraniumcroft/internal/invariant"
)

// ownedClaim is a claim that this VM holds for a request in hand.
type ownedClaim struct {
	key       Key
	keepUntil time.Time
}

func (c *Claims) own(requestID string, claim ownedClaim) {
	c.mu.Lock()
	_, twice := c.owned[requestID]
	c.owned[requestID] = claim
	c.mu.Unlock()
	c.inv.Check(!twice, invariant.OneDispatch, "request %s claims a key twice", requestID)
}

// disown ends the request's claim here, so that a request ends once.
func (c *Claims) disown(k Key, requestID string) (ownedClaim, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	claim, ok := c.owned[requestID]
	if !ok || claim.key != k {
		return ownedClaim{}, false
	}
	delete(c.owned, requestID)
	return claim, true
}
