package causes

import (
	"bufio"
	"cmp"
	"compress/gzip"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxLine bounds a line of a log.
	maxLine = 4 << 20
	// keptIDs is how many requests are named for each cause.
	keptIDs = 3
	// gzipMagic begins a compressed log.
	gzipMagic = "\x1f\x8b"
)

// Filter selects requests. Zero fields select all.
type Filter struct {
	Since   time.Time
	Until   time.Time
	Profile string
}

func (f Filter) admits(e Event) bool {
	at := e.Arrival()
	return (f.Since.IsZero() || !at.Before(f.Since)) && (f.Until.IsZero() || at.Before(f.Until)) &&
		(f.Profile == "" || f.Profile == e.Profile)
}

// Aggregator counts causes.
type Aggregator struct {
	Limits Limits
	Filter Filter
	// Span is the length of a row of the account over time.
	Span time.Duration

	dataCentres map[string]string
	causes      map[Cause]*count
	spans       map[time.Time]map[Outcome]int
}

// count is what is kept of one cause.
type count struct {
	requests      int
	ids           []string
	byDataCentre  map[string]int
	byProfile     map[string]int
	first, latest time.Time
}

// New returns an empty account.
func New(limits Limits, filter Filter, span time.Duration) *Aggregator {
	return &Aggregator{Limits: limits, Filter: filter, Span: span, dataCentres: map[string]string{}, causes: map[Cause]*count{}, spans: map[time.Time]map[Outcome]int{}}
}

// Read adds a log, which may be compressed.
func (a *Aggregator) Read(log io.Reader) error {
	buffered := bufio.NewReader(log)
	if magic, err := buffered.Peek(len(gzipMagic)); err == nil && string(magic) == gzipMagic {
		unpacked, err := gzip.NewReader(buffered)
		if err != nil {
			return errors.Wrap(err, "log not unpacked")
		}
		return a.scan(unpacked)
	}
	return a.scan(buffered)
}

func (a *Aggregator) scan(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		l, ok := parse(scanner.Bytes())
		switch {
		case !ok:
		case l.Message == messageStarted:
			a.dataCentres[l.VM] = l.DataCentre
		default:
			a.add(l.event())
		}
	}
	return errors.Wrap(scanner.Err(), "log not read")
}

func (a *Aggregator) add(e Event) {
	if !a.Filter.admits(e) {
		return
	}
	cause := a.Limits.Classify(e)
	c := a.causes[cause]
	if c == nil {
		c = &count{byDataCentre: map[string]int{}, byProfile: map[string]int{}, first: e.Arrival()}
		a.causes[cause] = c
	}
	c.requests++
	if len(c.ids) < keptIDs {
		c.ids = append(c.ids, e.RequestID)
	}
	c.byDataCentre[cmp.Or(a.dataCentres[e.VM], "unknown")]++
	c.byProfile[e.Profile]++
	if e.Arrival().Before(c.first) {
		c.first = e.Arrival()
	}
	if e.Arrival().After(c.latest) {
		c.latest = e.Arrival()
	}
	span := e.Arrival().Truncate(a.Span)
	if a.spans[span] == nil {
		a.spans[span] = map[Outcome]int{}
	}
	a.spans[span][cause.Outcome]++
}

// Row is one cause of the report.
type Row struct {
	Cause
	Requests     int            `json:"requests"`
	IDs          []string       `json:"ids"`
	ByDataCentre map[string]int `json:"byDataCentre"`
	ByProfile    map[string]int `json:"byProfile"`
	First        time.Time      `json:"first"`
	Latest       time.Time      `json:"latest"`
}

// SpanRow is one span of time of the report.
type SpanRow struct {
	From     time.Time       `json:"from"`
	Requests map[Outcome]int `json:"requests"`
}

// Report is the account: causes with the most requests first, then the spans in order.
type Report struct {
	Requests int       `json:"requests"`
	Causes   []Row     `json:"causes"`
	Spans    []SpanRow `json:"spans"`
}

// Report returns the account so far.
func (a *Aggregator) Report() Report {
	var r Report
	for cause, c := range a.causes {
		r.Requests += c.requests
		r.Causes = append(r.Causes, Row{
			Cause: cause, Requests: c.requests, IDs: c.ids, ByDataCentre: c.byDataCentre, ByProfile: c.byProfile, First: c.first, Latest: c.latest,
		})
	}
	slices.SortFunc(r.Causes, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason))
	})
	for _, from := range slices.SortedFunc(maps.Keys(a.spans), time.Time.Compare) {
		r.Spans = append(r.Spans, SpanRow{From: from, Requests: a.spans[from]})
	}
	return r
}
