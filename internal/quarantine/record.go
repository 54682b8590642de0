package quarantine

import (
	"slices"
	"time"

	"geraniumcroft/internal/incarnation"
)

// maxEndsKept bounds the ends that are kept of one request.
const maxEndsKept = 16

// end is one replica that ended under a request.
type end struct {
	replica  incarnation.Key
	at       time.Time
	forgiven bool
}

// is reports whether an end is that of a replica. A start that one of two VMs does not know
// makes no other incarnation.
func (e end) is(k incarnation.Key) bool {
	return e.replica.ID == k.ID && (e.replica.Born == k.Born || e.replica.Born <= 0 || k.Born <= 0)
}

// merge takes over another VM's word of the same end: the first to see it has its time. It reports
// whether that is news.
func (e *end) merge(other end) bool {
	news := other.forgiven && !e.forgiven
	e.forgiven = e.forgiven || other.forgiven
	if e.at.Sub(other.at) > sameMoment {
		e.at, news = other.at, true
	}
	return news
}

// sameMoment is the difference of times that says nothing: reports round them.
const sameMoment = 10 * time.Millisecond

// record is what is known of one request.
type record struct {
	ends []end
	// seen is when the request was last asked for while quarantined, or its last end.
	seen time.Time
	// revision is that of the ledger at the record's last change.
	revision uint64
}

// add adds an end, or takes over what is new of one that is known. It reports whether that is news.
func (r *record) add(e end) bool {
	if i := slices.IndexFunc(r.ends, func(known end) bool { return known.is(e.replica) }); i >= 0 {
		return r.ends[i].merge(e)
	}
	if len(r.ends) >= maxEndsKept && !r.dropForgiven() {
		return false
	}
	r.ends = append(r.ends, e)
	r.touch(e.at)
	return true
}

// dropForgiven makes room by dropping the oldest end that was forgiven, if there is one.
func (r *record) dropForgiven() bool {
	oldest := -1
	for i, e := range r.ends {
		if e.forgiven && (oldest < 0 || e.at.Before(r.ends[oldest].at)) {
			oldest = i
		}
	}
	if oldest < 0 {
		return false
	}
	r.ends = slices.Delete(r.ends, oldest, oldest+1)
	return true
}

// touch notes that the request was seen at a time.
func (r *record) touch(at time.Time) {
	if at.After(r.seen) {
		r.seen = at
	}
}

// counted is how many ends are held against the request.
func (r *record) counted() int {
	n := 0
	for _, e := range r.ends {
		if !e.forgiven {
			n++
		}
	}
	return n
}

// span is the time between the first and the last end that are held against the request.
func (r *record) span() time.Duration {
	var first, last time.Time
	for _, e := range r.ends {
		if e.forgiven {
			continue
		}
		if first.IsZero() || e.at.Before(first) {
			first = e.at
		}
		if e.at.After(last) {
			last = e.at
		}
	}
	return last.Sub(first)
}

// replicas names the replicas whose ends are held against the request.
func (r *record) replicas() []string {
	var names []string
	for _, e := range r.ends {
		if !e.forgiven {
			names = append(names, e.replica.String())
		}
	}
	slices.Sort(names)
	return names
}

// forgive drops all that is held against the request, and reports whether there was anything.
func (r *record) forgive() bool {
	some := false
	for i := range r.ends {
		some = some || !r.ends[i].forgiven
		r.ends[i].forgiven = true
	}
	return some
}

// report returns the record as other VMs are told it.
func (r *record) report(d Digest, epoch time.Time) Report {
	report := Report{Digest: d, SeenMS: r.seen.Sub(epoch).Milliseconds()}
	for _, e := range r.ends {
		report.Crashes = append(report.Crashes, Crash{Replica: e.replica, AtMS: e.at.Sub(epoch).Milliseconds(), Cleared: e.forgiven})
	}
	return report
}

// recordOf reads a report. No time lies after now, whatever a peer says.
func recordOf(report Report, epoch, now time.Time) *record {
	at := func(ms int64) time.Time {
		if t := epoch.Add(time.Duration(ms) * time.Millisecond); t.Before(now) {
			return t
		}
		return now
	}
	r := &record{}
	for _, e := range report.Crashes {
		r.add(end{replica: e.Replica, at: at(e.AtMS), forgiven: e.Cleared})
	}
	r.touch(at(report.SeenMS))
	return r
}
