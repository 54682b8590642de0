package admission

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/outcome"
)

const testPool = "pool"

// fakeTargets are the slots behind a pool. The last of them is for urgent work.
type fakeTargets struct {
	controller *Controller

	mu    sync.Mutex // guards the fields below
	slots int
	used  int
	order []string
}

func newFakeTargets(s Settings, slots int) *fakeTargets {
	return &fakeTargets{controller: New(s, invariant.Strict()), slots: slots}
}

func (f *fakeTargets) try(r *Request) func() bool {
	return func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		open := f.slots
		if r.EffectiveUrgency() != config.Urgent && open > 1 {
			open--
		}
		if f.used >= open {
			return false
		}
		f.used++
		f.order = append(f.order, r.ID)
		return true
	}
}

func (f *fakeTargets) admit(ctx context.Context, r *Request) error {
	r.Pool = testPool
	return f.controller.Admit(ctx, r, f.try(r))
}

func (f *fakeTargets) setSlots(slots int) {
	f.mu.Lock()
	f.slots = slots
	f.mu.Unlock()
	f.controller.Wake(testPool)
}

// end frees a slot after a request was served for that time.
func (f *fakeTargets) end(took time.Duration) {
	f.mu.Lock()
	f.used--
	f.mu.Unlock()
	f.controller.Finished(testPool, took)
	f.controller.Wake(testPool)
}

// serve admits r, holds its slot for that time and gives it back.
func (f *fakeTargets) serve(r *Request, took time.Duration) error {
	err := f.admit(context.Background(), r)
	if err == nil {
		time.Sleep(took)
		f.end(took)
	}
	return err
}

func (f *fakeTargets) started() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.order...)
}

// queueUp starts Admit in the background and returns once it waits.
func (f *fakeTargets) queueUp(r *Request) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- f.admit(context.Background(), r) }()
	synctest.Wait()
	return ended
}

func reasonOf(t *testing.T, err error) outcome.Reason {
	t.Helper()
	var failure *outcome.Failure
	if !errors.As(err, &failure) {
		t.Fatalf("error %v is not an outcome.Failure", err)
	}
	if failure.Outcome != outcome.NotRun {
		t.Fatalf("outcome %s, want not-run", failure.Outcome)
	}
	return failure.Reason
}
