package layers

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/incarnation"
)

// splitReplicas returns replicas with which every path crosses once between two data centres.
func splitReplicas() []Replica {
	var all []Replica
	for i := range 2 {
		first, second := cards("a", "large", 2)[i], cards("b", "large", 2)[i]
		first.Held = config.LayerRange{From: 20 * i, To: 20 * (i + 1)}
		second.Held = config.LayerRange{From: 40 + 20*i, To: 60 + 20*i}
		all = append(all, first, second)
	}
	return all
}

// reportAll reports the same fraction of used memory for all replicas.
func reportAll(table *Table, used float64) {
	spec := table.spec
	loads := map[incarnation.Key]Load{}
	for _, d := range table.Dump() {
		total := spec.tokenCapacity(spec.kind(d.Kind), d.Held.Len()) * float64(d.Held.Len())
		loads[incarnation.Key{ID: d.ID, Born: d.Born}] = Load{Used: used * total, Total: total, Pace: 1, Held: d.Held, At: time.Now()}
	}
	table.SetLoads(loads)
}

// countReservations returns how many reservations succeed, at most 1000.
func countReservations(table *Table) int {
	n := 0
	for ; n < 1000; n++ {
		if _, err := table.Reserve(meanQuery); err != nil {
			break
		}
	}
	return n
}

// If a data centre is short of capacity, many VMs choose paths that cross to another one.
// The link sends prompts one after another, so requests that cross take longer and keep
// their memory for longer, which makes even more requests cross. Streams then begin late
// and stall. Each VM must therefore limit itself to its part of the link.
func TestCrossingKeepsToThePartOfTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		spec := testSpec()
		const vms = 100
		table := NewTable()
		table.SetVMCounts(VMCounts{DataCentre: "a", Fleet: vms, Local: vms / 2})
		table.Update(spec, splitReplicas())
		begin := time.Now()
		crossed := 0
		for time.Since(begin) < 20*time.Second {
			reportAll(table, 0)
			reservation, err := table.Reserve(meanQuery)
			switch {
			case err == nil:
				crossed++
				reservation.Release(true)
			case !errors.Is(err, ErrNoCapacity):
				t.Fatal(err)
			}
			time.Sleep(10 * time.Millisecond)
		}
		bytes := float64(crossed) * meanQuery.tokens() * spec.ActivationBytes
		fleet := bytes * vms / maxFreeShares
		link := spec.LinkMbps / 8 * 1e6 * 20
		if fleet < 0.3*link || fleet > 0.8*link {
			t.Errorf("%d requests crossed; the VMs that do so at once fill %.2f of the link", crossed, fleet/link)
		}
	})
}

// A path that stays in another data centre sends no activations over a link, so the link's
// budget must not delay it.
func TestPathInAnotherDataCentreNeedsNoLink(t *testing.T) {
	spec := testSpec()
	table := NewTable()
	table.SetVMCounts(VMCounts{DataCentre: "a", Fleet: 100, Local: 50})
	var replicas []Replica
	for i, r := range cards("b", "large", 4) {
		r.Held = config.LayerRange{From: 20 * i, To: 20 * (i + 1)}
		replicas = append(replicas, r)
	}
	table.Update(spec, replicas)
	for range 3 {
		reservation, err := table.Reserve(meanQuery)
		if err != nil {
			t.Fatal(err)
		}
		reservation.Release(true)
	}
}

// Requests arrive at VMs at random, so a VM needs more than its even share at times. It may
// use a few shares unless the replicas are reported as nearly full; otherwise it would
// refuse requests while the replicas are half empty.
func TestShareIsExceededWhileThereIsRoom(t *testing.T) {
	spec := testSpec()
	const home = 28
	count := func(used float64) int {
		table := placedTable(spec, cards("a", "large", 3))
		table.SetVMCounts(VMCounts{DataCentre: "a", Fleet: 3 * home, Local: home})
		reportAll(table, used)
		return countReservations(table)
	}
	half, full := count(0.5), count(0.85)
	if half < 2*full {
		t.Errorf("%d requests beside half full replicas, %d beside nearly full ones", half, full)
	}
}
