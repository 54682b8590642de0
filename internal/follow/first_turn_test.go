package follow

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
)

// Guards against a fleet with few relays whose first read of the store, once that turns away all VMs
// that follow the feed, comes so late that a change is not in force everywhere in time.
func TestFewRelaysTakeTheirFirstTurnsSoon(t *testing.T) {
	for _, c := range []struct {
		vms, relays int
		relay       bool
		within      time.Duration
	}{
		{320, 5, true, retryDelay},
		{985, 35, true, 1400 * time.Millisecond},
		{1970, 101, true, peerRetryDelay},
		{320, 5, false, 320 * retryDelayPerVM},
	} {
		t.Run(fmt.Sprintf("%d VMs, relay %t", c.vms, c.relay), func(t *testing.T) {
			f := New(Options{
				Logger: zap.NewNop(), VMs: func() int { return c.vms },
				Relays: func() bool { return c.relay }, RelayCount: func() int { return c.relays },
			})
			f.recordPeerRole(true)
			if got := f.firstTurnWithin(); got != c.within {
				t.Errorf("first turn within %s, not %s", got, c.within)
			}
		})
	}
}
