package baseline

import (
	"context"
	"sync"

	"golang.org/x/sync/semaphore"

	"geraniumcroft/internal/config"
)

// slots limits the requests in progress on each target. Requests wait in order of
// arrival.
type slots struct {
	mu       sync.Mutex // guards the field below
	byTarget map[string]*semaphore.Weighted
}

func newSlots() *slots { return &slots{byTarget: map[string]*semaphore.Weighted{}} }

// semaphoreOf returns the semaphore with the slots of a target.
func (s *slots) semaphoreOf(t *config.Target) *semaphore.Weighted {
	s.mu.Lock()
	defer s.mu.Unlock()
	slot := s.byTarget[t.Name]
	if slot == nil {
		slot = semaphore.NewWeighted(int64(t.Slots))
		s.byTarget[t.Name] = slot
	}
	return slot
}

// acquire waits for a slot on each target. The targets are in order of their layers, so
// that requests cannot deadlock. The returned function releases the slots.
func (s *slots) acquire(ctx context.Context, targets []*config.Target) (release func(), err error) {
	var held []*semaphore.Weighted
	release = func() {
		for _, slot := range held {
			slot.Release(1)
		}
	}
	for _, t := range targets {
		slot := s.semaphoreOf(t)
		if err := slot.Acquire(ctx, 1); err != nil {
			release()
			return nil, err
		}
		held = append(held, slot)
	}
	return release, nil
}
