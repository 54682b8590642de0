package balance

import (
	"errors"
	"fmt"
	"testing"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/invariant"
)

func services(n, slots int) *config.Snapshot {
	s := config.NewSnapshot()
	for i := range n {
		name := fmt.Sprintf("t%03d", i)
		s.Targets[name] = &config.Target{Name: name, Kind: config.KindService, Service: "svc", Slots: slots, State: config.StateActive}
	}
	return s
}

func TestPickKeepsHeadroomForUrgent(t *testing.T) {
	b := New(Settings{}, invariant.Strict())
	b.Update(services(2, 4))
	taken := map[config.Urgency]int{}
	for u := config.Bulk; u <= config.Urgent; u++ {
		for {
			_, err := b.Pick(Query{Pool: "svc", Urgency: u})
			if errors.Is(err, ErrNoCapacity) {
				break
			}
			taken[u]++
		}
	}
	if taken[config.Bulk] != 6 || taken[config.Normal] != 0 || taken[config.Urgent] != 2 {
		t.Fatalf("taken %v, want 6 bulk, then 2 urgent", taken)
	}
}
