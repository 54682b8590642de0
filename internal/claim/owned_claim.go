package claim

import (
	"time"

	"geraniumcroft/internal/invariant"
)

// ownedClaim is a claim that this VM holds for a request that has not ended.
type ownedClaim struct {
	key       Key
	keepUntil time.Time
}

// addOwned records that the request holds the claim.
func (c *Claims) addOwned(requestID string, claim ownedClaim) {
	c.mu.Lock()
	_, duplicate := c.owned[requestID]
	c.owned[requestID] = claim
	c.mu.Unlock()
	c.inv.Check(!duplicate, invariant.OneDispatch, "request %s claims a key twice", requestID)
}

// removeOwned removes and returns the request's claim, so that a request ends only
// once. It returns false if the request holds no claim of the key.
func (c *Claims) removeOwned(k Key, requestID string) (ownedClaim, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	claim, ok := c.owned[requestID]
	if !ok || claim.key != k {
		return ownedClaim{}, false
	}
	delete(c.owned, requestID)
	return claim, true
}
