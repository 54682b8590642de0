package causes

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// printedOutcomes are the columns of the table over time, in order.
var printedOutcomes = []Outcome{InTime, Late, Refused, Failed, BrokenOff, NotOwed}

// Print writes the report as two tables, one of the causes and one over time.
func (r Report) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(table, format+"\n", values...) } // table.Flush returns any error
	line("%d requests\n", r.Requests)
	line("requests\toutcome\treason\tdata centres\tfrom\tuntil\tids")
	for _, row := range r.Causes {
		line("%d\t%s\t%s\t%s\t%s\t%s\t%s", row.Requests, row.Outcome, row.Reason, formatCounts(row.ByDataCentre),
			row.First.Format("15:04:05.0"), row.Latest.Format("15:04:05.0"), strings.Join(row.IDs, " "))
	}
	line("")
	names := make([]string, len(printedOutcomes))
	for i, outcome := range printedOutcomes {
		names[i] = string(outcome)
	}
	line("from\t%s", strings.Join(names, "\t"))
	for _, span := range r.Spans {
		counts := make([]string, len(printedOutcomes))
		for i, outcome := range printedOutcomes {
			counts[i] = fmt.Sprint(span.Requests[outcome])
		}
		line("%s\t%s", span.From.Format("15:04:05"), strings.Join(counts, "\t"))
	}
	return table.Flush()
}

func formatCounts(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}
