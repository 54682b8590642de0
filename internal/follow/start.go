package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"geraniumcroft/internal/sleep"
)

const (
	// maxStartFromPeers is how long a VM without a copy waits for peers before it reads the store
	// itself.
	maxStartFromPeers = 3 * time.Second
	// startInterval is the time between two requests to peers until then.
	startInterval = 150 * time.Millisecond
	// maxWaitForPeers is how long the list of VMs is waited for before the peers that are known from
	// the settings are asked. It is longer than a VM waits for the others when the whole system
	// starts for the first time. peersKnownInterval is the time between two checks.
	maxWaitForPeers    = 4 * time.Second
	peersKnownInterval = 20 * time.Millisecond
)

// startFromPeers gets the first copy from peers, unless this VM is to follow the feed. If all VMs of
// a large fleet that starts read the whole tables, the store has to send a thousand times a
// megabyte at that moment.
func (f *Follower) startFromPeers(ctx context.Context) {
	for start := time.Now(); !f.PeersKnown() && time.Since(start) < maxWaitForPeers; {
		if !sleep.For(ctx, peersKnownInterval) {
			return
		}
	}
	timed, cancel := context.WithTimeout(ctx, maxStartFromPeers)
	defer cancel()
	for f.View() == nil && timed.Err() == nil {
		if f.PeersKnown() && f.FollowsFeed() {
			return
		}
		f.fetchFromPeers(timed, maxStartFromPeers)
		if f.View() == nil {
			sleep.For(timed, startInterval/2+rand.N(startInterval))
		}
	}
}
