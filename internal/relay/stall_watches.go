package relay

import (
	"sync"

	"geraniumcroft/internal/stall"
)

// stallWatches are the watches of the sends that are under way. What the other streams of this VM
// bring tells which stages run.
type stallWatches struct {
	mu  sync.Mutex // guards the field below
	all map[*stallWatch]struct{}
}

func newStallWatches() *stallWatches { return &stallWatches{all: map[*stallWatch]struct{}{}} }

func (s *stallWatches) add(w *stallWatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all[w] = struct{}{}
}

func (s *stallWatches) remove(w *stallWatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, w)
}

// others returns the watches but one.
func (s *stallWatches) others(than *stallWatch) []*stallWatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	others := make([]*stallWatch, 0, len(s.all))
	for w := range s.all {
		if w != than {
			others = append(others, w)
		}
	}
	return others
}

// suspects says which stages of a stream that stands still may have stopped.
func (s *stallWatches) suspects(w *stallWatch) stall.Suspicion {
	others := s.others(w)
	streams := make([]stall.Stream, 0, len(others))
	for _, other := range others {
		streams = append(streams, other.stream())
	}
	return stall.Suspects(w.stream(), streams)
}

// tell wakes the other streams that pass through stages which are gone for certain.
func (s *stallWatches) tell(from *stallWatch, gone []string) {
	for _, other := range s.others(from) {
		if other.passesAny(gone) {
			other.wake()
		}
	}
}

func addressesOf(stages []stall.Stage) []string {
	addresses := make([]string, 0, len(stages))
	for _, stage := range stages {
		addresses = append(addresses, stage.Address)
	}
	return addresses
}
