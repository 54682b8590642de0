package relay

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/incarnation"
)

// Guards against a stream that is given up within milliseconds at a replica that has ended: the replica was tried
// again without a pause until no send was left, while others were about to be confirmed.
func TestExcludedReplicasAreTriedAgainAfterAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		var e exclusions
		const tries = 6
		for range tries {
			e.add(incarnation.Key{ID: "ended"})
			if !e.waitForPath(t.Context(), func() bool { return false }) || len(e.snapshot()) != 0 {
				t.Fatal("the replica is not tried again")
			}
		}
		// At least half of the means: 0.1, 0.2, 0.4, 0.8, 1 and 1 s.
		if took := time.Since(began); took < 1750*time.Millisecond {
			t.Errorf("%d tries in %s", tries, took)
		}
		if e.waitForPath(t.Context(), func() bool { return false }) {
			t.Error("waits though no replica is excluded")
		}
	})
}

// Guards against a stream that waits out its pause though a path has become known meanwhile.
func TestStreamTakesThePathThatIsConfirmedMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newCompetingLoad(1, competingSeed)
		h := l.vms[0]
		g := newResumingStream(h, "stream", competingService)
		for _, r := range l.engines.replicas {
			g.excluded.add(r.Key())
		}
		began := time.Now()
		time.AfterFunc(30*time.Millisecond, func() {
			replicas := l.engines.replicas
			for _, r := range l.engines.replicas {
				r.ID, r.Address = "new-"+r.ID, "new-"+r.Address
				replicas = append(replicas, r)
			}
			h.Pools.Update(competingService, l.engines.spec, replicas)
		})
		reservation, failure := g.admit(t.Context())
		if failure != nil {
			t.Fatal(failure)
		}
		defer reservation.Release(true)
		for _, stage := range reservation.Path() {
			if g.excluded.snapshot()[stage.Replica.Key()] {
				t.Errorf("the path has the excluded replica %s", stage.Replica.ID)
			}
		}
		if took := time.Since(began); took > 30*time.Millisecond+exclusionPollInterval || len(g.excluded.snapshot()) == 0 {
			t.Errorf("taken after %s, %d replicas excluded", took, len(g.excluded.snapshot()))
		}
	})
}

// Guards against an unlocked map that the watch of a stalled stream reads while the end of a send excludes one more
// replica, which ends the process.
func TestExclusionsAreReadWhileAnotherIsAdded(t *testing.T) {
	var e exclusions
	var all sync.WaitGroup
	for i := range 4 {
		all.Go(func() {
			for n := range 1000 {
				e.add(incarnation.Key{ID: fmt.Sprint(i, n)})
				_ = e.snapshot()
			}
		})
	}
	all.Wait()
	if n := len(e.snapshot()); n != 4000 {
		t.Errorf("%d replicas excluded, want 4000", n)
	}
}
