package relay

import (
	"testing"

	"geraniumcroft/internal/incarnation"
)

// A stream stands still and its watch looks for another path, while its send ends and notes one
// more replica to avoid. Both had the same map: the process of the VM ended, with all requests
// in its hands ("concurrent map iteration and map write").
func TestReservationHasItsOwnReplicasToAvoid(t *testing.T) {
	g := &generation{h: &Handler{}, q: &request{}, avoid: map[incarnation.Key]bool{{ID: "first"}: true}}
	need := g.need()
	g.avoid[incarnation.Key{ID: "second"}] = true
	if len(need.Exclude) != 1 || !need.Exclude[incarnation.Key{ID: "first"}] {
		t.Errorf("avoided: %v", need.Exclude)
	}
}
