package relay

import (
	"testing"

	"geraniumcroft/internal/incarnation"
)

// Guards against a concurrent map access that ended the VM's process with all its requests in
// progress ("concurrent map iteration and map write"): the watch of a stalled stream looks for
// another path while the send ends and records one more replica to avoid. Both used the same map.
func TestReservationHasItsOwnReplicasToAvoid(t *testing.T) {
	g := &generation{h: &Handler{}, q: &request{}, avoid: map[incarnation.Key]bool{{ID: "first"}: true}}
	need := g.need()
	g.avoid[incarnation.Key{ID: "second"}] = true
	if len(need.Avoid) != 1 || !need.Avoid[incarnation.Key{ID: "first"}] {
		t.Errorf("avoided: %v", need.Avoid)
	}
}
