package layers

import (
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/incarnation"
)

// restartedCards are three cards with all layers of which the first starts again under its id.
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

// A card fails, is avoided, and starts again under its id. What its earlier incarnation did,
// held and had room for is not its own: it is used as soon as it is listed with its layers. A
// stream that was cut off with the earlier one ends late and blames that one alone.
func TestRestartedCardStartsWithACleanSheet(t *testing.T) {
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
		table.Suspect(first) // the stream that was cut off finds out only now
		table.RecordRefusal(first)
		table.SetPace(first, 8)
		cutOff.Release(false)
		fresh := table.replicas[after[0].Key()]
		if fresh.suspected(time.Now()) || fresh.reserved != 0 || fresh.entryRequests != 0 || fresh.pace != 0 {
			t.Errorf("the new incarnation: %+v", fresh)
		}
		if _, err := table.Reserve(meanQuery); err != nil {
			t.Error(err)
		}
	})
}

// A board of loads was made before a card started again, and arrives after its new
// incarnation is listed, empty. The layers and the room on the board are gone.
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
			t.Error("a request goes over layers that were lost")
		}
		table.SetLoads(map[incarnation.Key]Load{after[0].Key(): {Total: 1e6, Pace: 1, Held: before[0].Held, At: time.Now()}})
		if _, err := table.Reserve(meanQuery); err != nil {
			t.Errorf("once it reports them itself: %v", err)
		}
	})
}

// A replica reports a range that the model does not have. It is not searched, whose cuts lie
// within the model.
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

// The first card of a path starts again, empty, and gets the layers of a later stage that has
// stopped. A stream whose connection to it has not broken yet must not be moved there: its
// path would name one address twice, which engines refuse.
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
