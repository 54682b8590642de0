package layers

import (
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/incarnation"
)

// restartedCards returns three cards with all layers, before and after a restart of the
// first one under the same ID.
func restartedCards() (before, after []Replica) {
	before = cards("a", "large", 3)
	for i := range before {
		before[i].Born = 1
		before[i].Held = config.LayerRange{From: 27 * i, To: min(80, 27*(i+1))}
	}
	after = append([]Replica(nil), before...)
	after[0].Born = 2
	return before, after
}

// A card that failed and was avoided restarts under the same ID. The failures, layers and
// reserved memory of its earlier incarnation must not be attributed to the new one, which is
// used as soon as it is listed with its layers. A stream that was cut off by the restart and
// ends late affects the earlier incarnation only.
func TestRestartedCardHasNoStateOfItsPredecessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before, after := restartedCards()
		table := NewTable()
		table.Update(testSpec(), before)
		cutOff, err := table.Reserve(meanQuery)
		if err != nil {
			t.Fatal(err)
		}
		first := cutOff.Path().First()
		table.SetLoads(map[incarnation.Key]Load{before[0].Key(): {Down: true, At: time.Now()}})
		table.Suspect(before[0])
		table.Update(testSpec(), after)
		table.Suspect(first) // reported late by the stream that was cut off
		table.RecordRefusal(first)
		table.SetPace(first, 8)
		cutOff.Release(false)
		fresh := table.replicas[after[0].Key()]
		if fresh.suspected(time.Now()) || fresh.reserved != 0 || fresh.entryRequests != 0 || fresh.pace != 0 {
			t.Errorf("state of the new incarnation: %+v", fresh)
		}
		if _, err := table.Reserve(meanQuery); err != nil {
			t.Error(err)
		}
	})
}

// A load report made before a card restarted arrives after its new incarnation is listed
// without layers. The layers and the memory in that report no longer exist.
func TestReportOfTheEarlierIncarnationIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before, after := restartedCards()
		after[0].Held = config.LayerRange{}
		table := NewTable()
		table.Update(testSpec(), before)
		table.Update(testSpec(), after)
		time.Sleep(2 * reportLag)
		table.SetLoads(map[incarnation.Key]Load{before[0].Key(): {Total: 1e6, Pace: 1, Held: before[0].Held, At: time.Now()}})
		if _, err := table.Reserve(meanQuery); err == nil {
			t.Error("a path uses layers that were lost")
		}
		table.SetLoads(map[incarnation.Key]Load{after[0].Key(): {Total: 1e6, Pace: 1, Held: before[0].Held, At: time.Now()}})
		if _, err := table.Reserve(meanQuery); err != nil {
			t.Errorf("reservation after the new incarnation reported its layers: %v", err)
		}
	})
}

// A replica reports a range beyond the model's layers. The report must be ignored, because the
// cuts of a search must lie within the model.
func TestReportedRangeBeyondTheModelIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before, _ := restartedCards()
		table := NewTable()
		table.Update(testSpec(), before)
		time.Sleep(2 * reportLag)
		table.SetLoads(map[incarnation.Key]Load{before[0].Key(): {Total: 1e6, Pace: 1, Held: config.LayerRange{From: -5, To: 5000}, At: time.Now()}})
		r, err := table.Reserve(meanQuery)
		if err != nil || !r.Path().Covers(80) {
			t.Errorf("%v", err)
		}
	})
}

// The first card of a path restarts empty and loads the layers of a later stage that has
// stopped. A stream whose connection to the card is not broken yet must not be moved there:
// its path would name one address twice, which engines refuse.
func TestDetourNamesNoAddressTwice(t *testing.T) {
	before, after := restartedCards()
	table := NewTable()
	table.Update(testSpec(), before)
	reservation, err := table.Reserve(meanQuery)
	if err != nil {
		t.Fatal(err)
	}
	path := reservation.Path()
	after[0].Held = path[1].Layers
	table.Update(testSpec(), after)
	if path, err := reservation.Detour([]string{path[1].Replica.Address}, 5, false); err == nil {
		t.Errorf("path %s", path)
	}
}
