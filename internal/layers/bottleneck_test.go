package layers

import (
	"strings"
	"testing"
)

// The log line about a refused request names the cause for each data centre: a card that
// is full by its report, or layers that no replica holds.
func TestBottleneckNamesWhatIsMissing(t *testing.T) {
	near, far := cards("a", "large", 3), cards("b", "large", 3)
	table := placedTable(testSpec(), append(near, far...))
	table.SetVMCounts(VMCounts{DataCentre: "a", Fleet: 1, Local: 1})
	reportAll(table, 2)
	query := meanQuery
	query.DataCentre = "a"
	if got := table.Bottleneck(query); strings.Count(got, "is full") < 2 {
		t.Errorf("bottleneck with full cards: %s", got)
	}
	empty := NewTable()
	empty.Update(testSpec(), cards("a", "large", 1))
	if got := empty.Bottleneck(query); !strings.Contains(got, "nobody holds") {
		t.Errorf("bottleneck with an empty card: %s", got)
	}
}
