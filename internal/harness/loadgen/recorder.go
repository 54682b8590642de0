package loadgen

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// maxExamples is the maximum number of faults that a report lists in full.
const maxExamples = 20

// seriesKey identifies a series.
type seriesKey struct {
	profileIndex int
	ending       Ending
}

// series holds the latencies of the requests of one profile with one ending.
type series struct {
	requests int
	first    histogram
	between  histogram
	whole    histogram
}

// recorder collects results. It is safe for concurrent use.
type recorder struct {
	options *Options

	mu       sync.Mutex // guards the fields below
	series   map[seriesKey]*series
	late     histogram
	reasons  map[string]int
	faults   map[Check]int
	examples []Fault
	tokens   int
	unsent   int
}

func newRecorder(o *Options) *recorder {
	return &recorder{
		options: o,
		series:  map[seriesKey]*series{},
		late:    newHistogram(),
		reasons: map[string]int{},
		faults:  map[Check]int{},
	}
}

// notSent counts an arrival that was not sent.
func (c *recorder) notSent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsent++
}

func (c *recorder) add(r *result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens += r.tokens
	c.late.add(r.late)
	if r.ending != EndComplete {
		c.reasons[string(r.ending)+": "+r.reason]++
	}
	c.addFaults(r.faults)
	c.addTimes(r)
}

func (c *recorder) addFaults(faults []Fault) {
	for _, fault := range faults {
		c.faults[fault.Check]++
		if len(c.examples) < maxExamples {
			c.examples = append(c.examples, fault)
		}
	}
}

func (c *recorder) addTimes(r *result) {
	key := seriesKey{profileIndex: r.arrival.ProfileIndex, ending: r.ending}
	s := c.series[key]
	if s == nil {
		s = &series{first: newHistogram(), between: newHistogram(), whole: newHistogram()}
		c.series[key] = s
	}
	s.requests++
	s.whole.add(r.whole)
	if r.tokens > 0 {
		s.first.add(r.first)
	}
	for _, gap := range r.between {
		s.between.add(gap)
	}
}

// report returns the report of a run that started at start, had arrivals for sending
// and received the last answer after whole.
func (c *recorder) report(start time.Time, sending, whole time.Duration) *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	report := &Report{
		Start:           start.UTC(),
		Seed:            c.options.Seed,
		Rate:            c.options.Rate,
		Routers:         len(c.options.Routers),
		Profiles:        c.options.Profiles,
		SendingSeconds:  sending.Seconds(),
		WholeSeconds:    whole.Seconds(),
		Endings:         map[Ending]int{},
		Reasons:         c.reasons,
		Tokens:          c.tokens,
		TokensPerSecond: float64(c.tokens) / whole.Seconds(),
		NotSent:         c.unsent,
		SentLate:        c.late.quantiles(),
		Faults:          c.faults,
		Examples:        c.examples,
	}
	for key, s := range c.series {
		report.Requests += s.requests
		report.Endings[key.ending] += s.requests
		report.Series = append(report.Series, newSeriesReport(c.options.Profiles[key.profileIndex].Name, key.ending, s))
	}
	slices.SortFunc(report.Series, func(a, b SeriesReport) int {
		return cmp.Or(cmp.Compare(a.Profile, b.Profile), cmp.Compare(a.Ending, b.Ending))
	})
	return report
}
