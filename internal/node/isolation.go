package node

import (
	"context"
	"time"

	"geraniumcroft/internal/router"
)

const (
	isolationCheck = 250 * time.Millisecond
	// isolationBound is shorter than the time after which peers declare a silent VM
	// dead. Until it has passed a change waits for this VM's confirmation; after it
	// this VM takes no requests, so nobody needs the confirmation.
	isolationBound = 1500 * time.Millisecond
)

// reach is what a VM must reach one of to know the configuration in force.
type reach struct {
	storeHealthy  func() bool
	peerCount     func() int
	peerReachable func() bool
}

func (r reach) cutOff() bool {
	return !r.storeHealthy() && r.peerCount() > 0 && !r.peerReachable()
}

// watchIsolation closes the gate once this VM has been cut off from the store and
// all peers for the bound, and opens it when either is back.
func watchIsolation(ctx context.Context, r reach, gate *router.Gate) {
	ticker := time.NewTicker(isolationCheck)
	defer ticker.Stop()
	var since time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if !r.cutOff() {
				since = time.Time{}
			} else if since.IsZero() {
				since = now
			}
			gate.SetIsolated(!since.IsZero() && now.Sub(since) >= isolationBound)
		}
	}
}
