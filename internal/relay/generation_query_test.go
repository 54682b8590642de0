package relay

import (
	"testing"

	"geraniumcroft/internal/incarnation"
)

// Guards against a concurrent map access that ended the VM's process with all its requests in
// progress ("concurrent map iteration and map write"): the watch of a stalled stream looks for
// another path while the send ends and excludes one more replica. Both used the same map.
func TestReservationHasItsOwnReplicasToAvoid(t *testing.T) {
	g := &generation{h: &Handler{}, q: &request{}}
	g.excluded.add(incarnation.Key{ID: "first"})
	query := g.query()
	g.excluded.add(incarnation.Key{ID: "second"})
	if len(query.Exclude) != 1 || !query.Exclude[incarnation.Key{ID: "first"}] {
		t.Errorf("avoided: %v", query.Exclude)
	}
}
