package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"geraniumcroft/internal/incarnation"
)

const (
	// seenShare is the part of Settings.QuarantineTTL after which a quarantined request that is still
	// asked for is told to other VMs again.
	seenShare = 8
	// lateMargin keeps a request that this VM has just dropped from being taken over from a VM
	// that is about to drop it.
	lateMargin = time.Minute
)

// Ledger is what this VM knows of requests that may crash replicas. It is safe for concurrent use.
type Ledger struct {
	settings Settings

	mu      sync.Mutex // guards the fields below
	records map[Digest]*record
	// well says when a run of a request last went well here.
	well *lru.Cache[Digest, time.Time]
	// revision grows with each change. It starts at the time of day, so that a VM's next process
	// goes on above it.
	revision uint64
}

// NewLedger returns an empty ledger of a VM that starts now.
func NewLedger(s Settings, now time.Time) *Ledger {
	l := &Ledger{settings: s, records: map[Digest]*record{}, revision: uint64(now.UnixMicro())}
	l.well, _ = lru.New[Digest, time.Time](max(1, s.MaxSuccesses)) // fails only for a size below 1
	return l
}

// CrashWindow is how long a run must have brought events to clear its request.
func (l *Ledger) CrashWindow() time.Duration { return l.settings.CrashWindow }

// RecordCrash notes that a replica ended under a young run of the request, and returns whether that is
// news for other VMs.
func (l *Ledger) RecordCrash(d Digest, replica incarnation.Key, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ranWell(d, now) {
		return false
	}
	r := l.of(d, now)
	return l.changed(r, r.add(end{replica: replica, at: now}))
}

// RecordSuccess notes that a run of the request went well, and returns whether that is news for other
// VMs.
func (l *Ledger) RecordSuccess(d Digest, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.well.Add(d, now)
	return l.forgive(d)
}

// Lift drops all that is held against the request, by an operator's word, and returns whether
// there was anything.
func (l *Ledger) Lift(d Digest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.forgive(d)
}

// ranWell reports whether a run went well not long ago. l.mu is held.
func (l *Ledger) ranWell(d Digest, now time.Time) bool {
	at, ok := l.well.Peek(d)
	return ok && now.Sub(at) < l.settings.SuccessTTL
}

// forgive is Lift; l.mu is held.
func (l *Ledger) forgive(d Digest) bool {
	r := l.records[d]
	return r != nil && l.changed(r, r.forgive())
}

// changed numbers a change of a record, if there was one. l.mu is held.
func (l *Ledger) changed(r *record, changed bool) bool {
	if changed {
		l.revision++
		r.revision = l.revision
	}
	return changed
}

// Lookup says what is known of a request.
func (l *Ledger) Lookup(d Digest, now time.Time) Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.records[d]; r != nil {
		return l.verdict(r, now)
	}
	return Status{}
}

// RecordRefusal notes that a quarantined request was asked for. Now and then that is news for other
// VMs, so that all hold it for as long as it is asked for anywhere.
func (l *Ledger) RecordRefusal(d Digest, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[d]
	if r == nil || now.Sub(r.seen) < l.settings.QuarantineTTL/seenShare {
		return false
	}
	r.touch(now)
	return l.changed(r, true)
}

// verdict judges a record. l.mu is held.
func (l *Ledger) verdict(r *record, now time.Time) Status {
	ends, unseen := r.counted(), now.Sub(r.seen)
	v, enough := Status{Crashes: ends}, l.enough(r)
	switch {
	case !enough && unseen >= l.settings.SuspectTTL:
		v.Crashes = 0
	case !enough:
		l.spare(&v, unseen)
	case unseen < l.settings.QuarantineTTL:
		v.Quarantined, v.Left = true, l.settings.QuarantineTTL-unseen
	default:
		v.Crashes = min(ends, l.settings.CrashThreshold-1) // the next end quarantines it again
	}
	return v
}

// spare says how a request that is suspected so long after its last end is kept from the last
// replicas. l.mu is held.
func (l *Ledger) spare(v *Status, after time.Duration) {
	if v.Crashes > 0 && after < l.settings.SuspectSpareFor {
		v.SpareReplicas, v.Left = l.settings.SuspectSpareReplicas, l.settings.SuspectSpareFor-after
	}
}

// enough reports whether the ends held against a request quarantine it. l.mu is held.
func (l *Ledger) enough(r *record) bool {
	ends := r.counted()
	return ends >= l.settings.CrashThreshold || ends == l.settings.CrashThreshold-1 && r.span() >= l.settings.MinCrashSpacing
}

// of returns the request's record, a new one if there is none. l.mu is held.
func (l *Ledger) of(d Digest, now time.Time) *record {
	r := l.records[d]
	if r == nil {
		if len(l.records) >= l.settings.MaxRecords {
			l.expire(now)
		}
		if len(l.records) >= l.settings.MaxRecords {
			l.evict()
		}
		r = &record{}
		l.records[d] = r
	}
	return r
}

// kept is how long a record is of use after the request was last seen.
func (l *Ledger) kept(r *record) time.Duration {
	if l.enough(r) {
		return l.settings.QuarantineTTL + l.settings.SuspectTTL
	}
	return l.settings.SuspectTTL
}

// expire drops what is of no use any more. l.mu is held.
func (l *Ledger) expire(now time.Time) {
	for d, r := range l.records {
		if now.Sub(r.seen) >= l.kept(r) {
			delete(l.records, d)
		}
	}
}

// evict drops the record with the fewest ends, the oldest among these. l.mu is held.
func (l *Ledger) evict() {
	var least Digest
	var found *record
	for d, r := range l.records {
		if found == nil || cmp.Or(cmp.Compare(r.counted(), found.counted()), r.seen.Compare(found.seen)) < 0 {
			least, found = d, r
		}
	}
	delete(l.records, least)
}

// Merge takes over other VMs' reports, whose times count from an epoch, and returns the requests
// of which something was new.
func (l *Ledger) Merge(reports []Report, epoch, now time.Time) []Digest {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changed []Digest
	for _, report := range reports {
		if l.merge(report.Digest, recordOf(report, epoch, now), now) {
			changed = append(changed, report.Digest)
		}
	}
	return changed
}

// merge takes over one record, and says whether anything in it was new. l.mu is held.
func (l *Ledger) merge(d Digest, theirs *record, now time.Time) bool {
	if l.records[d] == nil && now.Sub(theirs.seen) >= l.kept(theirs)-lateMargin {
		return false
	}
	ours := l.of(d, now)
	news := theirs.seen.Sub(ours.seen) >= l.settings.QuarantineTTL/seenShare
	for _, e := range theirs.ends {
		news = ours.add(e) || news
	}
	ours.touch(theirs.seen)
	if l.ranWell(d, now) {
		news = ours.forgive() || news
	}
	return l.changed(ours, news)
}

// Reports returns what is known of some requests; times count from the epoch.
func (l *Ledger) Reports(epoch time.Time, of ...Digest) []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var reports []Report
	for _, d := range of {
		if r := l.records[d]; r != nil {
			reports = append(reports, r.report(d, epoch))
		}
	}
	return reports
}

// Since returns what has changed after a revision, with the present one, which is 0 while
// nothing is known of any request.
func (l *Ledger) Since(after uint64, epoch time.Time) ([]Report, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var reports []Report
	for d, r := range l.records {
		if r.revision > after {
			reports = append(reports, r.report(d, epoch))
		}
	}
	slices.SortFunc(reports, func(a, b Report) int { return strings.Compare(string(a.Digest[:]), string(b.Digest[:])) })
	return reports, l.currentRevision()
}

// Revision is that of the last change, 0 while nothing is known of any request.
func (l *Ledger) Revision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.currentRevision()
}

func (l *Ledger) currentRevision() uint64 {
	if len(l.records) == 0 {
		return 0
	}
	return l.revision
}

// CrashedReplicas returns the replicas that ended under a request and are held against it.
func (l *Ledger) CrashedReplicas(d Digest) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.records[d]; r != nil {
		return r.replicas()
	}
	return nil
}
