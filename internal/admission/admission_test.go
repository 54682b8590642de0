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

// A request whose deadline the queue cannot meet is refused in the instant of its
// arrival: the rate of the queue is known from what started before, and what is
// ahead of it would take longer than it has. One with enough time is queued.
func TestHopelessDeadlineIsRefusedOnArrival(t *testing.T) {
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
			t.Fatalf("refused for %s after %s, want deadline at once", reason, time.Since(arrival))
		}
		if failure := err.(*outcome.Failure); failure.RetryAfter < 15*time.Second || failure.RetryAfter > 25*time.Second {
			t.Errorf("retry after %s, want about the 18 s that the queue needs", failure.RetryAfter)
		}
		if err := f.admit(context.Background(), &Request{Workspace: "w", Deadline: arrival.Add(25 * time.Second)}); err != nil {
			t.Errorf("a request with time enough was refused: %v", err)
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
			t.Errorf("refused for %s", reason)
		}
		f.setSlots(40)
		time.Sleep(time.Minute)
	})
	return waited
}

// The targets die while a request is queued. Nothing ends any more, so nothing
// wakes the pool; the caller is still told not-run as soon as the time that the
// queue stands still shows that its deadline is lost, and not at its deadline.
func TestQueuedRequestIsRefusedOnceItsDeadlineIsLost(t *testing.T) {
	if waited := stalledRefusal(t, Settings{}); waited > 50*time.Second {
		t.Errorf("refused after %s, near its deadline", waited)
	}
	if waited := stalledRefusal(t, Settings{faults: faults{noReview: true}}); waited < time.Minute {
		t.Errorf("refused after %s although nothing looked at the queue", waited)
	}
}

// The caller goes away while its request is queued: its place is free at once and
// no capacity is taken for it later.
func TestAbandonedRequestTakesNothing(t *testing.T) {
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
			t.Errorf("started %v", got)
		}
	})
}

// An urgent request finds no slot. The router hears of it at once and again while
// it waits, so that it can preempt a bulk stream.
func TestStarvedIsToldUntilTheUrgentRequestStarts(t *testing.T) {
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
			t.Errorf("called %d times", calls)
		}
	})
}

// The operator asks for the state while the queue is full and nothing moves.
func TestDumpAnswersWhileTheQueueIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTargets(Settings{MaxQueued: 2}, 0)
		f.queueUp(&Request{ID: "a", Workspace: "a"})
		f.queueUp(&Request{ID: "b", Workspace: "b"})
		dump := f.controller.Dump().(Dump)
		if got := dump.Pools[testPool].Levels["bulk"].Queued; got != 2 {
			t.Errorf("dump shows %d queued", got)
		}
		if _, err := json.Marshal(dump); err != nil {
			t.Error(err)
		}
		f.setSlots(10)
	})
}

// A try function of one pool does not return, by a fault elsewhere. Requests to
// other pools are admitted, and the dump answers and names the stuck pool.
func TestStuckPoolHoldsUpNoOther(t *testing.T) {
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

// A profile's requests have lately taken longer than this caller allows. On an idle
// system one is tried all the same, as only its answer can show that the slow spell
// is over; one that is far too late is refused.
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

// A try function takes one slot of the two that it needs, gives it back, and with
// that wakes its own pool. The pool goes on: the next request is admitted.
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
