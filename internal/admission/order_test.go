package admission

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/outcome"
)

// The queue is full of bulk. An urgent request is queued at once all the same, and
// the bulk request that came last is told not-run; another bulk one is refused.
func TestUrgentTakesThePlaceOfTheNewestBulk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTargets(Settings{MaxQueued: 2}, 0)
		first := f.queueUp(&Request{ID: "first", Workspace: "a"})
		second := f.queueUp(&Request{ID: "second", Workspace: "a"})
		third := f.queueUp(&Request{ID: "third", Workspace: "a"})
		if reason := reasonOf(t, <-third); reason != outcome.ReasonOverloaded {
			t.Errorf("third bulk request: %s", reason)
		}
		urgent := f.queueUp(&Request{ID: "urgent", Workspace: "b", Urgency: config.Urgent})
		if reason := reasonOf(t, <-second); reason != outcome.ReasonOverloaded {
			t.Errorf("newest bulk request: %s", reason)
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

// A large workspace has filled the queue. A small one's request is not refused
// for it: the large one, which holds more than its share, loses its newest.
func TestFullQueueMakesRoomForASmallWorkspace(t *testing.T) {
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

// A preempted stream comes back while the queue of its level is full: it is
// queued, and goes before those that have not started yet.
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

// Normal work keeps the pool full. Bulk still gets one start in NormalPerBulk, but not
// while an urgent request waits.
func TestBulkGetsATurnBehindNormalWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTargets(Settings{NormalPerBulk: 4}, 0)
		for i := range 8 {
			f.queueUp(&Request{ID: fmt.Sprint("normal", i), Workspace: "a", Urgency: config.Normal})
		}
		f.queueUp(&Request{ID: "bulk", Workspace: "b"})
		f.setSlots(20)
		f.controller.Wake(testPool)
		if at := slices.Index(f.started(), "bulk"); at != 4 {
			t.Errorf("bulk started in place %d of %v", at, f.started())
		}
	})
}

// Two profiles of one pool need different targets, and those of the first in line
// are full. The other profile's requests pass it, but not without end: it may need
// more slots at once than these leave free.
func TestRequestPassesOneWhoseTargetsAreFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(Settings{}, invariant.Strict())
		var open, started, asked int
		admit := func(profile string, try func() bool) {
			go c.Admit(context.Background(), &Request{Pool: testPool, Profile: profile, Workspace: profile}, try)
			synctest.Wait()
		}
		admit("full", func() bool { asked++; return open > 1 })
		for range maxPassed + 10 {
			admit("other", func() bool {
				if open == 0 {
					return false
				}
				started++
				return true
			})
		}
		open = 1
		for range 2 * maxPassed {
			c.Wake(testPool)
		}
		if started != maxPassed || asked < maxPassed {
			t.Errorf("%d passed, want %d", started, maxPassed)
		}
		open = 2
		c.Wake(testPool)
		c.Wake(testPool)
		if started != maxPassed+10 {
			t.Errorf("%d started in the end, want all", started)
		}
	})
}

// Bulk's turn has come, and an urgent request waits with it. The next slot is the
// urgent one's.
func TestBulksTurnWaitsForUrgent(t *testing.T) {
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

// Two preempted streams come back. The second finds a slot that has just come free,
// and leaves it to the first, which waits for it.
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

// One workspace sends without end. It is refused beyond its part of the queue, as
// workspace-limit, while another still finds room; an urgent request of its own takes
// the place of its newest bulk one.
func TestWorkspaceHasItsPartOfTheQueue(t *testing.T) {
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
			t.Errorf("the displaced one has the reason %s", reason)
		}
		f.setSlots(20)
		synctest.Wait()
		if got := f.started(); !slices.Equal(got, []string{"urgent", "1", "small"}) {
			t.Errorf("started %v", got)
		}
	})
}

// The request whose turn it is cannot start, as it needs more than is free, and its
// caller leaves. The one behind it starts at that moment and not at the next review.
func TestLeavingWakesTheOneBehind(t *testing.T) {
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
