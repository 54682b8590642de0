package layers

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/incarnation"
)

// tableWithSpare returns a table in which two cards hold layers 20 to 40. One of them carries
// the given number of streams, and the returned reservation passes through it.
func tableWithSpare(t *testing.T, streams int) (*Table, *Reservation) {
	t.Helper()
	spec := testSpec()
	table := NewTable()
	table.SetVMCounts(VMCounts{DataCentre: "a", Fleet: 90, Local: 30})
	stopped := Replica{ID: "2", Address: "2", DataCentre: "a", Kind: "large", Held: config.LayerRange{From: 20, To: 40}}
	others := []Replica{
		{ID: "1", Address: "1", DataCentre: "a", Kind: "large", Held: config.LayerRange{From: 0, To: 20}},
		{ID: "3", Address: "3", DataCentre: "a", Kind: "large", Held: config.LayerRange{From: 40, To: 60}},
		{ID: "4", Address: "4", DataCentre: "a", Kind: "large", Held: config.LayerRange{From: 60, To: 80}},
	}
	table.Update(spec, append(others, stopped))
	reservation, err := table.Reserve(meanQuery)
	if err != nil {
		t.Fatal(err)
	}
	spare := stopped
	spare.ID, spare.Address = "2b", "2b"
	table.Update(spec, append(others, stopped, spare))
	capacity := spec.tokenCapacity(spec.kind("large"), stopped.Held.Len()) * float64(stopped.Held.Len())
	table.SetLoads(map[incarnation.Key]Load{stopped.Key(): {
		Used: float64(streams) * spec.meanTokens() * float64(stopped.Held.Len()), Total: capacity, Held: stopped.Held, At: time.Now(),
	}})
	return table, reservation
}

// When a card stops, all its streams need another holder, which reads them one after
// another. No more of them may be moved than it can read in time, so that the others take
// other paths.
func TestDetourCapacityIsWhatCanBeReadInTime(t *testing.T) {
	const within = 150 * time.Millisecond
	for _, streams := range []int{5, 40, 150, 600} {
		table, reservation := tableWithSpare(t, streams)
		capacity, ok := reservation.DetourCapacity([]string{"2"}, 50, within)
		if !ok || len(capacity.Holders) != 1 || capacity.Holders[0].ID != "2b" {
			t.Fatalf("detour capacity %+v, %t", capacity, ok)
		}
		each := table.spec.prefillTime(table.spec.kind("large"), float64(meanQuery.Prompt+50), 20) / prefillShare
		random := rand.New(rand.NewPCG(uint64(streams), 1))
		moved, late := 0, 0
		for range streams {
			if random.Float64() >= capacity.MovableFraction {
				continue
			}
			moved++
			if float64(moved)*each > within.Seconds() {
				late++
			}
		}
		if late > streams/10 {
			t.Errorf("%d streams: %d moved, %d of them read too late", streams, moved, late)
		}
		if all := float64(streams)*each <= within.Seconds(); all && moved < streams {
			t.Errorf("%d streams: only %d moved though there is time for all", streams, moved)
		}
	}
}

// There is no capacity for a detour without another holder nearby.
func TestNoDetourCapacityWithoutNearbyHolder(t *testing.T) {
	_, reservation := tableWithSpare(t, 10)
	for _, stopped := range []string{"1", "3", "none"} {
		if capacity, ok := reservation.DetourCapacity([]string{stopped}, 5, time.Second); ok {
			t.Errorf("detour capacity without %s: %+v", stopped, capacity)
		}
	}
}

// Streams that could stay where they are must not be moved to replicas that are nearly
// full.
func TestMaxUsageExcludesFullReplicas(t *testing.T) {
	table, _ := tableWithSpare(t, 5)
	query := meanQuery
	query.MaxUsage = 0.6
	if _, err := table.Reserve(query); !errors.Is(err, ErrNoCapacity) {
		t.Errorf("reservation without load reports: %v", err)
	}
	reportAll(table, 0.3)
	if _, err := table.Reserve(query); err != nil {
		t.Errorf("reservation at usage 0.3: %v", err)
	}
	reportAll(table, 0.7)
	if _, err := table.Reserve(query); !errors.Is(err, ErrNoCapacity) {
		t.Errorf("reservation at usage 0.7: %v", err)
	}
}
