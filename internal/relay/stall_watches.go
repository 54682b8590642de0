package relay

import (
	"sync"

	"geraniumcroft/internal/stall"
)

// stallWatches holds the watches of the sends in progress. The events of this VM's other streams
// show which stages run.
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

// others returns all watches except one.
func (s *stallWatches) others(except *stallWatch) []*stallWatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	others := make([]*stallWatch, 0, len(s.all))
	for w := range s.all {
		if w != except {
			others = append(others, w)
		}
	}
	return others
}

// suspects returns which stages of a stalled stream may have stopped.
func (s *stallWatches) suspects(w *stallWatch) stall.Suspicion {
	others := s.others(w)
	streams := make([]stall.Stream, 0, len(others))
	for _, other := range others {
		streams = append(streams, other.stream())
	}
	return stall.Suspects(w.stream(), streams)
}

// notify triggers a check of the other streams that pass through stages which refused a connection.
func (s *stallWatches) notify(from *stallWatch, refused []string) {
	for _, other := range s.others(from) {
		if other.passesAny(refused) {
			other.checkNow()
		}
	}
}

// addressesOf returns the addresses of stages.
func addressesOf(stages []stall.Stage) []string {
	addresses := make([]string, 0, len(stages))
	for _, stage := range stages {
		addresses = append(addresses, stage.Address)
	}
	return addresses
}
