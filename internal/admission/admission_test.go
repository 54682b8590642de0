package admission

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/outcome"
)

// Guards against a request that waits although the queue cannot meet its deadline. The
// rate of the queue is known from earlier starts, and the requests ahead take longer
// than the time left, so it must be refused on arrival. A request with more time left
// must be queued.
func TestUnmeetableDeadlineIsRefusedOnArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTargets(Settings{}, 1)
		due := time.Now().Add(30 * time.Second)
		for i := range 29 {
			go f.serve(&Request{ID: fmt.Sprint(i), Workspace: "w", Deadline: due}, time.Second)
		}
		time.Sleep(10*time.Second + time.Millisecond)
		arrival := time.Now()
		err := f.admit(context.Background(), &Request{Workspace: "w", Deadline: arrival.Add(15 * time.Second)})
		if reason := reasonOf(t, err); reason != outcome.ReasonDeadline || time.Now() != arrival {
			t.Fatalf("refused with reason %s after %s, want deadline at once", reason, time.Since(arrival))
		}
		if failure := err.(*outcome.Failure); failure.RetryAfter < 15*time.Second || failure.RetryAfter > 25*time.Second {
			t.Errorf("retry after %s, want about the 18 s that the queue needs", failure.RetryAfter)
		}
		if err := f.admit(context.Background(), &Request{Workspace: "w", Deadline: arrival.Add(25 * time.Second)}); err != nil {
			t.Errorf("a request with enough time was refused: %v", err)
		}
	})
}

// stalledRefusal returns how long a queued request waited for its refusal after
// all targets had stopped.
func stalledRefusal(t *testing.T, s Settings) (waited time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTargets(s, 1)
		for i := range 40 {
			go f.serve(&Request{ID: fmt.Sprint(i), Workspace: "w"}, 100*time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		f.setSlots(0)
		queued := time.Now()
		err := f.admit(context.Background(), &Request{Workspace: "w", Deadline: queued.Add(time.Minute)})
		waited = time.Since(queued)
		if reason := reasonOf(t, err); reason != outcome.ReasonDeadline {
			t.Errorf("refused with reason %s", reason)
		}
		f.setSlots(40)
		time.Sleep(time.Minute)
	})
	return waited
}

// Guards against a queued request that is refused only at its deadline after all targets
// have failed. No request ends then, so nothing wakes the pool. The review must refuse
// the request as soon as the stall shows that its deadline cannot be met.
func TestQueuedRequestIsRefusedOnceItsDeadlineIsLost(t *testing.T) {
	if waited := stalledRefusal(t, Settings{}); waited > 50*time.Second {
		t.Errorf("refused after %s, at about its deadline", waited)
	}
	if waited := stalledRefusal(t, Settings{faults: faults{noReview: true}}); waited < time.Minute {
		t.Errorf("refused after %s although reviews are disabled", waited)
	}
}

// Guards against capacity that is taken for a queued request whose caller has left.
func TestAbandonedRequestTakesNoCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTargets(Settings{}, 0)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- f.admit(ctx, &Request{ID: "gone", Workspace: "a"}) }()
		synctest.Wait()
		cancel()
		if reason := reasonOf(t, <-ended); reason != outcome.ReasonCallerGone {
			t.Errorf("reason %s", reason)
		}
		f.setSlots(2)
		if got := f.started(); len(got) != 0 {
			t.Errorf("started %v, want none", got)
		}
	})
}

// Guards against an urgent request that waits without further calls of the OnStarved
// function, so that the router would not preempt a bulk stream for it.
func TestOnStarvedIsCalledUntilUrgentRequestStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTargets(Settings{}, 0)
		calls := 0
		f.controller.OnStarved(func(pool string, r *Request) {
			if calls++; calls == 3 {
				go f.setSlots(1)
			}
		})
		if err := f.admit(context.Background(), &Request{Workspace: "a", Urgency: config.Urgent}); err != nil {
			t.Fatal(err)
		}
		if calls != 3 {
			t.Errorf("OnStarved function called %d times, want 3", calls)
		}
	})
}

// Guards against a dump that blocks while the queue is full and no request starts.
func TestDumpReturnsWhileQueueIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTargets(Settings{MaxQueued: 2}, 0)
		f.queueUp(&Request{ID: "a", Workspace: "a"})
		f.queueUp(&Request{ID: "b", Workspace: "b"})
		dump := f.controller.Dump().(Dump)
		if got := dump.Pools[testPool].Levels["bulk"].Queued; got != 2 {
			t.Errorf("dump shows %d queued requests, want 2", got)
		}
		if _, err := json.Marshal(dump); err != nil {
			t.Error(err)
		}
		f.setSlots(10)
	})
}

// Guards against a try function that does not return and blocks other pools or the dump.
// The dump must show which pool is stuck.
func TestStuckPoolDoesNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTargets(Settings{}, 10)
		release := make(chan struct{})
		go f.controller.Admit(context.Background(), &Request{Pool: "stuck"}, func() bool { <-release; return true })
		synctest.Wait()
		if err := f.admit(context.Background(), &Request{}); err != nil {
			t.Error(err)
		}
		if pools := f.controller.Dump().(Dump).Pools; !pools["stuck"].Stuck || pools[testPool].Stuck {
			t.Errorf("dump shows %+v", pools)
		}
		close(release)
	})
}

// Guards against requests that are refused on an idle system forever because recent
// answers took longer than the caller allows. A request must be started as long as half
// of the expected time is left, since only its answer can show that the slow period is
// over.
func TestSlowSpellDoesNotRefuseForEver(t *testing.T) {
	f := newFakeTargets(Settings{}, 10)
	due := time.Now().Add(time.Hour)
	if err := f.admit(context.Background(), &Request{Deadline: due, Expected: 90 * time.Minute}); err != nil {
		t.Error(err)
	}
	err := f.admit(context.Background(), &Request{Deadline: due, Expected: 3 * time.Hour})
	if reason := reasonOf(t, err); reason != outcome.ReasonDeadline {
		t.Errorf("reason %s", reason)
	}
}

// Guards against a deadlock when a try function calls Wake for its own pool, as it does
// when it needs two slots, gets one and releases it.
func TestWakeFromWithinTry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTargets(Settings{}, 1)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() {
			ended <- f.controller.Admit(ctx, &Request{Pool: testPool}, func() bool { f.controller.Wake(testPool); return false })
		}()
		synctest.Wait()
		if err := f.admit(context.Background(), &Request{Urgency: config.Urgent}); err != nil {
			t.Error(err)
		}
		cancel()
		reasonOf(t, <-ended)
	})
}
