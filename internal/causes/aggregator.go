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
	// maxLineBytes bounds the length of a log line in bytes.
	maxLineBytes = 4 << 20
	// maxIDsPerCause bounds the number of request ids that are kept for each cause.
	maxIDsPerCause = 3
	// gzipMagic is the start of a log compressed with gzip.
	gzipMagic = "\x1f\x8b"
)

// Filter selects requests by time of arrival, from Since and before Until, and by profile.
// A zero field does not restrict the selection.
type Filter struct {
	Since   time.Time
	Until   time.Time
	Profile string
}

func (f Filter) matches(e Event) bool {
	at := e.Arrival()
	return (f.Since.IsZero() || !at.Before(f.Since)) && (f.Until.IsZero() || at.Before(f.Until)) &&
		(f.Profile == "" || f.Profile == e.Profile)
}

// Aggregator counts the causes of the requests in logs. It is not safe for concurrent use.
type Aggregator struct {
	Limits Limits
	Filter Filter
	// Span is the length of time that one SpanRow covers.
	Span time.Duration

	// dataCentres maps the name of a VM to its data centre, from the line that the VM logs at
	// its start.
	dataCentres map[string]string
	causes      map[Cause]*causeStats
	spans       map[time.Time]map[Outcome]int
}

// causeStats is the aggregate of the requests with one cause.
type causeStats struct {
	requests int
	// earliest are the requests that arrived first, up to maxIDsPerCause, in order of arrival.
	earliest      []request
	byVM          map[string]int
	byProfile     map[string]int
	first, latest time.Time
}

// request is a request that a report names.
type request struct {
	id string
	at time.Time
}

// name adds a request to the earliest ones, if it is one of them.
func (c *causeStats) name(r request) {
	at, _ := slices.BinarySearchFunc(c.earliest, r, func(a, b request) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.id, b.id))
	})
	c.earliest = slices.Insert(c.earliest, at, r)
	c.earliest = c.earliest[:min(maxIDsPerCause, len(c.earliest))]
}

func (c *causeStats) ids() []string {
	var ids []string
	for _, r := range c.earliest {
		ids = append(ids, r.id)
	}
	return ids
}

// byDataCentre returns the number of requests of each data centre, "unknown" for VMs whose start is in
// none of the logs.
func (a *Aggregator) byDataCentre(c *causeStats) map[string]int {
	counts := map[string]int{}
	for vm, n := range c.byVM {
		counts[cmp.Or(a.dataCentres[vm], "unknown")] += n
	}
	return counts
}

// New returns an Aggregator without requests.
func New(limits Limits, filter Filter, span time.Duration) *Aggregator {
	return &Aggregator{Limits: limits, Filter: filter, Span: span, dataCentres: map[string]string{}, causes: map[Cause]*causeStats{}, spans: map[time.Time]map[Outcome]int{}}
}

// Read adds the requests of a log, which may be compressed with gzip. Lines of other programs
// are skipped. A request counts under the data centre "unknown" unless the line about the start
// of its VM is in one of the logs.
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
	scanner.Buffer(nil, maxLineBytes)
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
	if !a.Filter.matches(e) {
		return
	}
	cause := a.Limits.Classify(e)
	c := a.causes[cause]
	if c == nil {
		c = &causeStats{byVM: map[string]int{}, byProfile: map[string]int{}, first: e.Arrival()}
		a.causes[cause] = c
	}
	c.requests++
	c.name(request{id: e.RequestID, at: e.Arrival()})
	c.byVM[e.VM]++
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

// Row is one cause in a report: the number of its requests, a few of their ids, and the
// first and latest arrival.
type Row struct {
	Cause
	Requests     int            `json:"requests"`
	IDs          []string       `json:"ids"`
	ByDataCentre map[string]int `json:"byDataCentre"`
	ByProfile    map[string]int `json:"byProfile"`
	First        time.Time      `json:"first"`
	Latest       time.Time      `json:"latest"`
}

// SpanRow counts, by outcome, the requests that arrived within one span of time.
type SpanRow struct {
	From     time.Time       `json:"from"`
	Requests map[Outcome]int `json:"requests"`
}

// Report holds the causes, those with the most requests first, and the spans in order of time.
type Report struct {
	Requests int       `json:"requests"`
	Causes   []Row     `json:"causes"`
	Spans    []SpanRow `json:"spans"`
}

// Report returns the aggregate of all logs read so far.
func (a *Aggregator) Report() Report {
	var r Report
	for cause, c := range a.causes {
		r.Requests += c.requests
		r.Causes = append(r.Causes, Row{
			Cause: cause, Requests: c.requests, IDs: c.ids(), ByDataCentre: a.byDataCentre(c), ByProfile: c.byProfile, First: c.first, Latest: c.latest,
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
