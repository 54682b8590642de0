package baseline

import (
	"context"
	"sync"

	"golang.org/x/sync/semaphore"

	"geraniumcroft/internal/config"
)

// slots queue first come first served for each target.
type slots struct {
	mu       sync.Mutex // guards the field below
	byTarget map[string]*semaphore.Weighted
}

func newSlots() *slots { return &slots{byTarget: map[string]*semaphore.Weighted{}} }

func (s *slots) of(t *config.Target) *semaphore.Weighted {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.byTarget[t.Name]
	if held == nil {
		held = semaphore.NewWeighted(int64(t.Slots))
		s.byTarget[t.Name] = held
	}
	return held
}

// take waits for a slot on each target in order of layers, so that no two
// requests wait for each other; the returned function gives them back.
func (s *slots) take(ctx context.Context, targets []*config.Target) (release func(), err error) {
	var held []*semaphore.Weighted
	release = func() {
		for _, slot := range held {
			slot.Release(1)
		}
	}
	for _, t := range targets {
		slot := s.of(t)
		if err := slot.Acquire(ctx, 1); err != nil {
			release()
			return nil, err
		}
		held = append(held, slot)
	}
	return release, nil
}
