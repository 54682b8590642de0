package loadgen

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Compare writes each figure of report b as a ratio to that of report a.
func Compare(w io.Writer, a, b *Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "second report / first report")
	fmt.Fprintf(t, "tokens a second: %s\n", ratio(b.TokensPerSecond, a.TokensPerSecond))
	for _, ending := range []Ending{EndComplete, EndNotRun, EndUnknown, EndNoAnswer} {
		fmt.Fprintf(t, "share %s: %.4f, was %.4f\n", ending, b.share(ending), a.share(ending))
	}
	fmt.Fprintf(t, "failed checks: %d, was %d\n\n", b.FaultCount(), a.FaultCount())
	fmt.Fprintln(t, "profile\tending\t\tmean\tp50\tp90\tp95\tp99\tp99.9\tmax\t")
	for _, now := range b.Series {
		if before, ok := a.find(now.Profile, now.Ending); ok {
			now.writeRatios(t, before)
		}
	}
	return t.Flush()
}

// share returns the fraction of the requests that ended this way, 0 without requests.
func (r *Report) share(ending Ending) float64 {
	if r.Requests == 0 {
		return 0
	}
	return float64(r.Endings[ending]) / float64(r.Requests)
}

func (r *Report) find(profile string, ending Ending) (SeriesReport, bool) {
	for _, s := range r.Series {
		if s.Profile == profile && s.Ending == ending {
			return s, true
		}
	}
	return SeriesReport{}, false
}

func (s SeriesReport) writeRatios(w io.Writer, before SeriesReport) {
	rows := before.rows()
	for i, now := range s.rows() {
		a, b := rows[i].quantiles, now.quantiles
		if a.Count == 0 || b.Count == 0 {
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t\n", s.Profile, s.Ending, now.name,
			ratio(b.Mean, a.Mean), ratio(b.P50, a.P50), ratio(b.P90, a.P90), ratio(b.P95, a.P95),
			ratio(b.P99, a.P99), ratio(b.P999, a.P999), ratio(b.Max, a.Max))
	}
}

// ratio formats b/a, or returns "-" if a is 0.
func ratio(b, a float64) string {
	if a == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", b/a)
}
