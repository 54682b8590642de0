package admission

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/outcome"
)

// Guards against an urgent request that is refused because bulk requests fill the queue. It
// must displace the newest bulk request; a further bulk request is refused.
func TestUrgentDisplacesNewestBulk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTargets(Settings{MaxQueued: 2}, 0)
		first := f.queueUp(&Request{ID: "first", Workspace: "a"})
		second := f.queueUp(&Request{ID: "second", Workspace: "a"})
		third := f.queueUp(&Request{ID: "third", Workspace: "a"})
		if reason := reasonOf(t, <-third); reason != outcome.ReasonOverloaded {
			t.Errorf("third bulk request refused with reason %s", reason)
		}
		urgent := f.queueUp(&Request{ID: "urgent", Workspace: "b", Urgency: config.Urgent})
		if reason := reasonOf(t, <-second); reason != outcome.ReasonOverloaded {
			t.Errorf("newest bulk request refused with reason %s", reason)
		}
		f.setSlots(3)
		if err := <-urgent; err != nil {
			t.Error(err)
		}
		if err := <-first; err != nil {
			t.Error(err)
		}
		if got := f.started(); !slices.Equal(got, []string{"urgent", "first"}) {
			t.Errorf("started %v", got)
		}
	})
}

// Guards against a large workspace that fills the queue, so that the requests of a small
// one are refused. The newest request of the workspace above its share must be displaced.
func TestSmallWorkspaceDisplacesRequestOfLargeOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTargets(Settings{MaxQueued: 3}, 0)
		var large []<-chan error
		for i := range 3 {
			large = append(large, f.queueUp(&Request{ID: fmt.Sprint(i), Workspace: "large"}))
		}
		small := f.queueUp(&Request{ID: "small", Workspace: "small"})
		reasonOf(t, <-large[2])
		f.setSlots(10)
		for _, ended := range []<-chan error{large[0], large[1], small} {
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}
	})
}

// Guards against a preempted stream that is refused because the queue is full, or that
// waits behind requests that have not started yet.
func TestResumedStreamGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTargets(Settings{MaxQueued: 1}, 0)
		fresh := f.queueUp(&Request{ID: "fresh", Workspace: "a"})
		resumed := f.queueUp(&Request{ID: "resumed", Workspace: "b", Resume: true})
		f.setSlots(10)
		if err := <-resumed; err != nil {
			t.Error(err)
		}
		if err := <-fresh; err != nil {
			t.Error(err)
		}
		if got := f.started(); !slices.Equal(got, []string{"resumed", "fresh"}) {
			t.Errorf("started %v", got)
		}
	})
}

// Guards against a bulk request that starves while normal requests keep the pool full. It
// must start after NormalPerBulk normal ones.
func TestBulkStartsAfterNormalPerBulk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTargets(Settings{NormalPerBulk: 4}, 0)
		for i := range 8 {
			f.queueUp(&Request{ID: fmt.Sprint("normal", i), Workspace: "a", Urgency: config.Normal})
		}
		f.queueUp(&Request{ID: "bulk", Workspace: "b"})
		f.setSlots(20)
		f.controller.Wake(testPool)
		if at := slices.Index(f.started(), "bulk"); at != 4 {
			t.Errorf("bulk request started at index %d of %v, want 4", at, f.started())
		}
	})
}

// Guards against a request whose targets are full and that blocks requests of another
// profile with idle targets. They must bypass it, but at most maxBypassed times: it may
// need more slots at once than they leave free.
func TestRequestPassesOneWhoseTargetsAreFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(Settings{}, invariant.Strict())
		var open, started, asked int
		admit := func(profile string, try func() bool) {
			go c.Admit(context.Background(), &Request{Pool: testPool, Profile: profile, Workspace: profile}, try)
			synctest.Wait()
		}
		admit("full", func() bool { asked++; return open > 1 })
		for range maxBypassed + 10 {
			admit("other", func() bool {
				if open == 0 {
					return false
				}
				started++
				return true
			})
		}
		open = 1
		for range 2 * maxBypassed {
			c.Wake(testPool)
		}
		if started != maxBypassed || asked < maxBypassed {
			t.Errorf("%d requests bypassed it, want %d", started, maxBypassed)
		}
		open = 2
		c.Wake(testPool)
		c.Wake(testPool)
		if started != maxBypassed+10 {
			t.Errorf("%d requests started in the end, want all", started)
		}
	})
}

// Guards against a bulk request that starts before a waiting urgent one because
// NormalPerBulk normal requests have started.
func TestDueBulkWaitsForUrgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTargets(Settings{NormalPerBulk: 1}, 0)
		f.queueUp(&Request{ID: "bulk", Workspace: "b"})
		f.queueUp(&Request{ID: "normal", Workspace: "a", Urgency: config.Normal})
		f.setSlots(1)
		f.queueUp(&Request{ID: "urgent", Workspace: "a", Urgency: config.Urgent})
		f.end(time.Second)
		synctest.Wait()
		if got := f.started(); !slices.Equal(got, []string{"normal", "urgent"}) {
			t.Errorf("started %v", got)
		}
		f.setSlots(20)
	})
}

// Guards against a resumed stream that takes a slot which became free while an earlier
// resumed stream waits for one.
func TestResumedStreamsKeepTheirOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTargets(Settings{}, 0)
		f.queueUp(&Request{ID: "first", Workspace: "a", Resume: true})
		f.mu.Lock()
		f.slots = 1
		f.mu.Unlock()
		f.queueUp(&Request{ID: "second", Workspace: "a", Resume: true})
		f.controller.Wake(testPool)
		synctest.Wait()
		if got := f.started(); !slices.Equal(got, []string{"first"}) {
			t.Errorf("started %v", got)
		}
		f.setSlots(20)
	})
}

// Guards against one workspace that uses the whole queue. Beyond its limit it is refused
// with the reason workspace-limit while other workspaces are queued, and its urgent
// requests displace its own newest bulk request.
func TestQueuedRequestsPerWorkspaceAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTargets(Settings{MaxQueuedPerWorkspace: 2}, 0)
		f.queueUp(&Request{ID: "1", Workspace: "large"})
		newest := f.queueUp(&Request{ID: "2", Workspace: "large"})
		if reason := reasonOf(t, <-f.queueUp(&Request{ID: "3", Workspace: "large"})); reason != outcome.ReasonWorkspaceLimit {
			t.Errorf("reason %s", reason)
		}
		f.queueUp(&Request{ID: "small", Workspace: "small"})
		f.queueUp(&Request{ID: "urgent", Workspace: "large", Urgency: config.Urgent})
		if reason := reasonOf(t, <-newest); reason != outcome.ReasonOverloaded {
			t.Errorf("displaced request refused with reason %s", reason)
		}
		f.setSlots(20)
		synctest.Wait()
		if got := f.started(); !slices.Equal(got, []string{"urgent", "1", "small"}) {
			t.Errorf("started %v", got)
		}
	})
}

// Guards against a request that waits for the next review although the request ahead of
// it, which could not start for lack of capacity, was cancelled.
func TestCancelledRequestWakesNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(Settings{ReviewInterval: time.Hour}, invariant.Strict())
		ctx, leave := context.WithCancel(context.Background())
		go c.Admit(ctx, &Request{Pool: testPool, Workspace: "a"}, func() bool { return false })
		synctest.Wait()
		behind := make(chan error, 1)
		go func() {
			behind <- c.Admit(context.Background(), &Request{Pool: testPool, Workspace: "a"}, func() bool { return true })
		}()
		synctest.Wait()
		start := time.Now()
		leave()
		if err := <-behind; err != nil || time.Since(start) != 0 {
			t.Errorf("%v after %s of virtual time", err, time.Since(start))
		}
	})
}

// Guards against a resumed stream of a service with one priority that loses its turn. Only where
// requests compete may others of its profile start while it finds no capacity.
func TestResumedIsBypassedOnlyWhereRequestsCompete(t *testing.T) {
	for _, competing := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := New(Settings{}, invariant.Strict())
			ctx, cancel := context.WithCancel(context.Background())
			var open, started atomic.Bool
			go func() {
				_ = c.Admit(ctx, &Request{Pool: testPool, Profile: "p", Workspace: "a", Resume: true, WorkConserving: competing}, func() bool { return false })
			}()
			synctest.Wait()
			go func() {
				err := c.Admit(ctx, &Request{Pool: testPool, Profile: "p", Workspace: "b", WorkConserving: competing}, open.Load)
				started.Store(err == nil)
			}()
			synctest.Wait()
			open.Store(true)
			c.Wake(testPool)
			synctest.Wait()
			if started.Load() != competing {
				t.Errorf("competing %t: started %t", competing, started.Load())
			}
			cancel()
		})
	}
}
