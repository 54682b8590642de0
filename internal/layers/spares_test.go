package layers

import (
	"slices"
	"testing"
)

// mixedKinds are a data centre of few fast cards and many of middling pace, as a customer has
// it: cards left over are slow.
func mixedKinds(spec *Spec) []Replica {
	spec.Kinds = map[string]Kind{
		"large": {MemoryMB: 72000, StepPace: 2.4, ReadPace: 3.2},
		"small": {MemoryMB: 14400, StepPace: 5.3, ReadPace: 7.9},
		"slow":  {MemoryMB: 21600, StepPace: 16, ReadPace: 8.2},
	}
	return slices.Concat(cards("a", "large", 1), cards("a", "small", 10), cards("a", "slow", 4))
}

// A card dies while callers stream. Its layers must be somebody's within the second or two
// that a load takes, and with room for the others' requests: neighbours that widened over
// them had room for 7 to 42 requests where the rest had 153, so that new drafts were
// refused until the card was back. Cards that hold nothing take them over at once, and
// none that serves has to give anything up.
func TestSparesTakeOverWhatALostCardHeld(t *testing.T) {
	spec := testSpec()
	group := mixedKinds(spec)
	held := carriedOut(group, Place(spec, group))
	before := leastRoomOf(spec, held)
	for i, lost := range held {
		left := slices.Delete(slices.Clone(held), i, i+1)
		placed := Place(spec, left)
		for _, r := range left {
			if r.Held.Len() > 0 && placed[r.ID] != r.Held {
				t.Errorf("%s died and %s is to hold %s in place of %s", lost.ID, r.ID, placed[r.ID], r.Held)
			}
		}
		if after := leastRoomOf(spec, carriedOut(left, placed)); after < 0.5*before {
			t.Errorf("%s died: room for %.0f requests, %.0f before", lost.ID, after, before)
		}
	}
}

// The lost card's successor is as fast as it was. It takes the layers back, and what stood
// in for it holds nothing again, ready for the next loss.
func TestStandInsAreSparesAgain(t *testing.T) {
	spec := testSpec()
	group := mixedKinds(spec)
	held := carriedOut(group, Place(spec, group))
	spares := 0
	for _, r := range held {
		if r.Held.Len() == 0 {
			spares++
		}
	}
	lost := held[0]
	left := carriedOut(held[1:], Place(spec, held[1:]))
	back := append(left, Replica{ID: "back", Address: "back", DataCentre: "a", Kind: lost.Kind})
	for range 10 {
		back = carriedOut(back, Place(spec, back))
	}
	again := 0
	for _, r := range back {
		if r.Held.Len() == 0 {
			again++
		}
	}
	if again < spares || leastRoomOf(spec, back) < 0.8*leastRoomOf(spec, held) {
		t.Errorf("%d spares, %d before the loss; room for %.0f requests, %.0f before", again, spares, leastRoomOf(spec, back), leastRoomOf(spec, held))
	}
}
