package reach

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a direct attempt before each connection to a replica that only peers reach, and
// against one that stays a detour for good.
func TestDetoursGrowAndEnd(t *testing.T) {
	r, now := NewRoutes(), start
	for _, want := range []time.Duration{firstDetour, 2 * firstDetour, 4 * firstDetour, maxDetour, maxDetour} {
		r.RecordDetour("a", now)
		if !r.PeerFirst("a", now.Add(want-time.Millisecond)) || r.PeerFirst("a", now.Add(want)) {
			t.Errorf("the detour is not %s", want)
		}
		now = now.Add(want)
	}
	r.RecordDetour("a", now)
	r.RecordDirect("a")
	if r.PeerFirst("a", now) {
		t.Error("a detour although the replica is reached")
	}
}

// Guards against peers that are asked for each dead replica by each request.
func TestReplicaThatNobodyReachesIsNotAskedForAgainAtOnce(t *testing.T) {
	r := NewRoutes()
	r.RecordUnreached("a", start)
	if r.AskPeer("a", start) || !r.AskPeer("a", start.Add(unreachedTTL)) || !r.AskPeer("b", start) {
		t.Error("wrong replicas are asked for")
	}
}

// Guards against memory that grows with the replicas that come and go.
func TestRoutesAreBounded(t *testing.T) {
	r := NewRoutes()
	for i := range 3 * maxRoutes {
		r.RecordDetour(fmt.Sprint(i), start)
	}
	if n := r.Detours(start); n > maxRoutes {
		t.Errorf("%d routes", n)
	}
}
