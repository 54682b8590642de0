package loadgen

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// WriteText writes the report as a table for readers.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "%d requests in %.1f s at %.0f a second, answered within %.1f s; %d tokens, %.0f a second\n",
		r.Requests, r.SendingSeconds, r.Rate, r.WholeSeconds, r.Tokens, r.TokensPerSecond)
	for _, ending := range []Ending{EndComplete, EndNotRun, EndUnknown, EndNoAnswer} {
		fmt.Fprintf(t, "%s: %d\n", ending, r.Endings[ending])
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Reasons)) {
		fmt.Fprintf(t, "  %s: %d\n", reason, r.Reasons[reason])
	}
	if r.NotSent > 0 {
		fmt.Fprintf(t, "not sent, too many in hand: %d\n", r.NotSent)
	}
	fmt.Fprintf(t, "sent late by this tool, ms: p50 %.2f, p99 %.2f, max %.2f\n\n", r.SentLate.P50, r.SentLate.P99, r.SentLate.Max)
	fmt.Fprintln(t, "profile\tending\tms\tcount\tmean\tp50\tp90\tp95\tp99\tp99.9\tmax\t")
	for _, s := range r.Series {
		s.writeText(t)
	}
	fmt.Fprintf(t, "\nfailed checks: %d\n", r.FaultCount())
	for _, example := range r.Examples {
		fmt.Fprintf(t, "  %s: %s\n", example.Check, example.Detail)
	}
	return t.Flush()
}

func (s SeriesReport) writeText(w io.Writer) {
	for _, row := range s.rows() {
		if q := row.quantiles; q.Count > 0 {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n",
				s.Profile, s.Ending, row.name, q.Count, q.Mean, q.P50, q.P90, q.P95, q.P99, q.P999, q.Max)
		}
	}
}

// latencyRow is one line of the table.
type latencyRow struct {
	name      string
	quantiles Quantiles
}

func (s SeriesReport) rows() []latencyRow {
	return []latencyRow{{"first token", s.FirstToken}, {"between tokens", s.BetweenTokens}, {"whole", s.Whole}}
}
