package placer

import (
	"testing"
	"testing/synctest"

	"geraniumcroft/internal/layers"
)

// Guards against a replica that is back after a crash and stays empty for the time that a joining replica
// waits, while the others lack its capacity.
func TestRestartedReplicaDoesNotWaitWhereTheBottleneckCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Options{})
		joining := func(spec *layers.Spec, r layers.Replica) bool {
			p.listComplete([]layers.Replica{r})
			return p.expected(spec, []layers.Replica{r})[0].Joining
		}
		bottleneck := &layers.Spec{PlaceForBottleneck: true}
		if !joining(bottleneck, layers.Replica{ID: "a", Born: 1, Address: "card"}) {
			t.Error("a replica that joins does not wait")
		}
		again := layers.Replica{ID: "b", Born: 2, Address: "card"}
		if joining(bottleneck, again) {
			t.Error("a replica at the address of an earlier one waits")
		}
		if !joining(&layers.Spec{}, again) {
			t.Error("a replica of a service with one priority does not wait")
		}
	})
}
