package layers

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/incarnation"
)

// crowdedTable holds layers 20 to 40 on two cards, one of which many streams pass through.
func crowdedTable(t *testing.T, streams int) (*Table, *Reservation) {
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
	capacity := spec.room(spec.kind("large"), stopped.Held.Len()) * float64(stopped.Held.Len())
	table.SetLoads(map[incarnation.Key]Load{stopped.Key(): {
		Used: float64(streams) * spec.meanTokens() * float64(stopped.Held.Len()), Total: capacity, Held: stopped.Held, At: time.Now(),
	}})
	return table, reservation
}

// Guards against all streams of a stopped card waiting for one holder, which reads them one after
// the other, when other paths are free.
func TestStreamsThatCantBeReadInTimeGoElsewhere(t *testing.T) {
	const within = 150 * time.Millisecond
	for _, streams := range []int{5, 40, 150, 600} {
		table, reservation := crowdedTable(t, streams)
		crowd, ok := reservation.DetourCapacity([]string{"2"}, 50, within)
		if !ok || len(crowd.Holders) != 1 || crowd.Holders[0].ID != "2b" {
			t.Fatalf("%+v, %t", crowd, ok)
		}
		each := table.spec.prefillTime(table.spec.kind("large"), float64(meanQuery.Prompt+50), 20) / prefillShare
		random := rand.New(rand.NewPCG(uint64(streams), 1))
		moved, late := 0, 0
		for range streams {
			if random.Float64() >= crowd.MovableFraction {
				continue
			}
			moved++
			if float64(moved)*each > within.Seconds() {
				late++
			}
		}
		if late > streams/10 {
			t.Errorf("%d streams: %d moved, %d of them are read too late", streams, moved, late)
		}
		if all := float64(streams)*each <= within.Seconds(); all && moved < streams {
			t.Errorf("%d streams: only %d moved though there is time for all", streams, moved)
		}
	}
}

func TestNoDetourNearbyIsNoCrowd(t *testing.T) {
	_, reservation := crowdedTable(t, 10)
	for _, stopped := range []string{"1", "3", "none"} {
		if crowd, ok := reservation.DetourCapacity([]string{stopped}, 5, time.Second); ok {
			t.Errorf("without %s: %+v", stopped, crowd)
		}
	}
}

// Guards against streams that could be moved taking the room of replicas that are nearly full.
func TestPathOfRoomyReplicasOnly(t *testing.T) {
	table, _ := crowdedTable(t, 5)
	need := meanQuery
	need.MaxUsage = 0.6
	if _, err := table.Reserve(need); !errors.Is(err, ErrNoRoom) {
		t.Errorf("nothing is known of the replicas' room: %v", err)
	}
	reportAll(table, 0.3)
	if _, err := table.Reserve(need); err != nil {
		t.Errorf("there is room: %v", err)
	}
	reportAll(table, 0.7)
	if _, err := table.Reserve(need); !errors.Is(err, ErrNoRoom) {
		t.Errorf("the replicas are fuller: %v", err)
	}
}
