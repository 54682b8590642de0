package causes

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// printedSpans are the outcomes that have a column each.
var printedSpans = []Outcome{InTime, Late, Refused, Failed, BrokenOff, NotOwed}

// Print writes the report as two tables.
func (r Report) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(table, format+"\n", values...) } // Flush returns the error
	line("%d requests\n", r.Requests)
	line("requests\toutcome\treason\tdata centres\tfrom\tuntil\tids")
	for _, row := range r.Causes {
		line("%d\t%s\t%s\t%s\t%s\t%s\t%s", row.Requests, row.Outcome, row.Reason, joined(row.ByDataCentre),
			row.First.Format("15:04:05.0"), row.Latest.Format("15:04:05.0"), strings.Join(row.IDs, " "))
	}
	line("")
	names := make([]string, len(printedSpans))
	for i, outcome := range printedSpans {
		names[i] = string(outcome)
	}
	line("from\t%s", strings.Join(names, "\t"))
	for _, span := range r.Spans {
		counts := make([]string, len(printedSpans))
		for i, outcome := range printedSpans {
			counts[i] = fmt.Sprint(span.Requests[outcome])
		}
		line("%s\t%s", span.From.Format("15:04:05"), strings.Join(counts, "\t"))
	}
	return table.Flush()
}

func joined(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}
