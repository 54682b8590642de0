package layers

import (
	"testing"
	"time"
)

// Guards against a card that takes no first stages although its slots are free: reports count the streams
// that only pass through it, and a card with the middle layers of most paths has more of them than slots.
func TestStreamsThatPassThroughUseNoSlots(t *testing.T) {
	spec := testSpec()
	table := NewTable()
	replica := cards("a", "large", 1)[0]
	replica.Held.To = 27
	table.Update(spec, []Replica{replica})
	reportAll(table, 0.1)
	card := table.replicas[replica.Key()]
	card.load.Streams = 2 * spec.Slots
	card.entryFraction.observe(1, 40)
	if !card.admitsEntry(spec.Slots, table.vmCounts.allowance("a"), time.Now()) {
		t.Errorf("no first stage beside %.0f streams that begin here", card.reportedEntries())
	}
	card.entryFraction = entryFraction{}
	if card.admitsEntry(spec.Slots, table.vmCounts.allowance("a"), time.Now()) {
		t.Error("without streams of its own, a VM takes the reported ones for streams that pass through")
	}
}
