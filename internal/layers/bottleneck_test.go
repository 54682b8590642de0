package layers

import (
	"strings"
	"testing"
)

// A request is refused. Its line in the log says, for each data centre, what it lacked: a
// card that is full by its report, or layers that nobody holds.
func TestBottleneckNamesWhatIsMissing(t *testing.T) {
	near, far := cards("a", "large", 3), cards("b", "large", 3)
	table := placedTable(testSpec(), append(near, far...))
	table.SetVMCounts(VMCounts{DataCentre: "a", Fleet: 1, Local: 1})
	reportAll(table, 2)
	need := meanQuery
	need.DataCentre = "a"
	if got := table.Bottleneck(need); strings.Count(got, "is full") < 2 {
		t.Errorf("full cards: %s", got)
	}
	empty := NewTable()
	empty.Update(testSpec(), cards("a", "large", 1))
	if got := empty.Bottleneck(need); !strings.Contains(got, "nobody holds") {
		t.Errorf("an empty card: %s", got)
	}
}
