package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"slices"
	"text/tabwriter"
	"time"
)

// Report holds the figures of an experiment.
type Report struct {
	Experiment      string    `json:"experiment"`
	Started         time.Time `json:"started"`
	Repeats         int       `json:"repeats"`
	DurationSeconds float64   `json:"durationSeconds"`
	TookSeconds     float64   `json:"tookSeconds"`
	Seed            uint64    `json:"seed"`
	Cores           int       `json:"cores"`
	Figures         []*Figure `json:"figures"`
	Notes           []string  `json:"notes,omitempty"`
}

func newReport(name string, o Options) *Report {
	return &Report{
		Experiment: name, Started: time.Now(), Repeats: o.Repeat, DurationSeconds: o.Duration.Seconds(),
		Seed: o.Seed, Cores: runtime.GOMAXPROCS(0),
	}
}

// figure returns the figure with the given name, and adds it if it does not exist.
func (r *Report) figure(name, unit string, limit *Limit) *Figure {
	for _, f := range r.Figures {
		if f.Name == name {
			return f
		}
	}
	f := &Figure{Name: name, Unit: unit, Wanted: limit}
	r.Figures = append(r.Figures, f)
	return f
}

// note adds a note, once.
func (r *Report) note(text string) {
	if !slices.Contains(r.Notes, text) {
		r.Notes = append(r.Notes, text)
	}
}

// Unmet returns the names of the figures whose median does not meet the limit.
func (r *Report) Unmet() []string {
	var names []string
	for _, f := range r.Figures {
		if f.Met != nil && !*f.Met {
			names = append(names, f.Name)
		}
	}
	return names
}

// WriteText writes the report as a table with a line for each figure.
func (r *Report) WriteText(w io.Writer) error {
	_, _ = fmt.Fprintf(w, "%s: %d repeats, %.0f s of load in each phase, %d cores, %.0f s in all\n",
		r.Experiment, r.Repeats, r.DurationSeconds, r.Cores, r.TookSeconds)
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "figure\tmedian\tmin..max\tunit\twanted\t")
	for _, f := range r.Figures {
		_, _ = fmt.Fprintf(table, "%s\t%.4g\t%.4g..%.4g\t%s\t%s\t%s\n", f.Name, f.Median, f.Min, f.Max, f.Unit, f.Wanted, f.verdict())
	}
	err := table.Flush()
	for _, note := range r.Notes {
		_, _ = fmt.Fprintln(w, "note:", note)
	}
	return err
}

func (f *Figure) verdict() string {
	switch {
	case f.Met == nil:
		return ""
	case *f.Met:
		return "met"
	default:
		return "NOT met"
	}
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}
