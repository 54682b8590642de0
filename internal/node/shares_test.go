package node

import (
	"testing"

	"geraniumcroft/internal/membership"
)

// Each VM must use its own share of each target's slots. If two VMs computed the same index, one
// share would be unused and another one exceeded. A VM that is dead or leaving must not count, or
// it would keep a share that no VM uses.
func TestPlaceInFleet(t *testing.T) {
	members := []membership.Member{
		{Name: "a", State: membership.Alive},
		{Name: "b", State: membership.Dead},
		{Name: "c", State: membership.Suspected},
		{Name: "d", State: membership.Alive, Leaving: true},
		{Name: "e", State: membership.Alive},
	}
	for self, want := range map[string][2]int{"a": {3, 0}, "c": {3, 1}, "e": {3, 2}, "d": {4, 2}} {
		count, index := placeInFleet(self, members)
		if got := [2]int{count, index}; got != want {
			t.Errorf("%s: %v, want %v", self, got, want)
		}
	}
}
