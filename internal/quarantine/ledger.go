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
	// refreshDivisor divides Settings.QuarantineTTL into the interval at which other VMs are informed
	// that callers still send a quarantined request.
	refreshDivisor = 8
	// expiryMargin is how long before its expiry the record of another VM is no longer added. Without
	// it, a record that has just expired here would be added again from a VM on which it is about to
	// expire.
	expiryMargin = time.Minute
)

// Ledger records the requests that may crash replicas, as far as this VM knows them. It is safe for
// concurrent use.
type Ledger struct {
	settings Settings

	mu      sync.Mutex // guards the fields below
	records map[Digest]*record
	// successes holds the time of the last successful run of a request on this VM.
	successes *lru.Cache[Digest, time.Time]
	// revision increases with each change. It starts at the wall clock time in microseconds, so that
	// the revisions of the next process of this VM are higher.
	revision uint64
}

// NewLedger returns an empty ledger for a VM that starts at now.
func NewLedger(s Settings, now time.Time) *Ledger {
	l := &Ledger{settings: s, records: map[Digest]*record{}, revision: uint64(now.UnixMicro())}
	l.successes, _ = lru.New[Digest, time.Time](max(1, s.MaxSuccesses)) // returns an error only for a size below 1
	return l
}

// CrashWindow returns how long a run must have produced events to clear its request.
func (l *Ledger) CrashWindow() time.Duration { return l.settings.CrashWindow }

// RecordCrash records that a replica crashed within the crash window of a run of the request. It
// reports whether the record changed, so that other VMs must be informed.
func (l *Ledger) RecordCrash(d Digest, replica incarnation.Key, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.recentSuccess(d, now) {
		return false
	}
	r := l.recordFor(d, now)
	return l.changed(r, r.add(crash{replica: replica, at: now}))
}

// RecordSuccess records that a run of the request was successful, and clears its crashes. It reports
// whether the record changed, so that other VMs must be informed.
func (l *Ledger) RecordSuccess(d Digest, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.successes.Add(d, now)
	return l.clearCrashes(d)
}

// Lift clears the crashes of the request on behalf of an operator and reports whether there were any.
func (l *Ledger) Lift(d Digest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clearCrashes(d)
}

// recentSuccess reports whether a run was successful within Settings.SuccessTTL. The caller must hold
// l.mu.
func (l *Ledger) recentSuccess(d Digest, now time.Time) bool {
	at, ok := l.successes.Peek(d)
	return ok && now.Sub(at) < l.settings.SuccessTTL
}

// clearCrashes clears the crashes of the request and reports whether there were any. The caller must
// hold l.mu.
func (l *Ledger) clearCrashes(d Digest) bool {
	r := l.records[d]
	return r != nil && l.changed(r, r.clearCrashes())
}

// changed assigns the next revision to a record if it was changed, and returns changed. The caller
// must hold l.mu.
func (l *Ledger) changed(r *record, changed bool) bool {
	if changed {
		l.revision++
		r.revision = l.revision
	}
	return changed
}

// Lookup returns the status of a request.
func (l *Ledger) Lookup(d Digest, now time.Time) Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.records[d]; r != nil {
		return l.status(r, now)
	}
	return Status{}
}

// RecordRefusal records that a caller sent a quarantined request, which extends the quarantine. It
// reports whether the record changed, so that other VMs must be informed: that happens at most once in
// QuarantineTTL/refreshDivisor, so that all VMs refuse the request for as long as any VM receives it.
func (l *Ledger) RecordRefusal(d Digest, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[d]
	if r == nil || now.Sub(r.lastSeen) < l.settings.QuarantineTTL/refreshDivisor {
		return false
	}
	r.touch(now)
	return l.changed(r, true)
}

// status returns the status of a record. The caller must hold l.mu.
func (l *Ledger) status(r *record, now time.Time) Status {
	crashes, idle := r.crashCount(), now.Sub(r.lastSeen)
	st, thresholdReached := Status{Crashes: crashes}, l.thresholdReached(r)
	switch {
	case !thresholdReached && idle >= l.settings.SuspectTTL:
		st.Crashes = 0
	case !thresholdReached:
		l.requireSpare(&st, idle)
	case idle < l.settings.QuarantineTTL:
		st.Quarantined, st.Left = true, l.settings.QuarantineTTL-idle
	default:
		st.Crashes = min(crashes, l.settings.CrashThreshold-1) // one more crash quarantines it again
	}
	return st
}

// requireSpare sets the spare replicas that a suspected request needs at the given time after its
// last crash.
func (l *Ledger) requireSpare(st *Status, after time.Duration) {
	if st.Crashes > 0 && after < l.settings.SuspectSpareFor {
		st.SpareReplicas, st.Left = l.settings.SuspectSpareReplicas, l.settings.SuspectSpareFor-after
	}
}

// thresholdReached reports whether the crashes of a request are enough to quarantine it.
func (l *Ledger) thresholdReached(r *record) bool {
	crashes := r.crashCount()
	return crashes >= l.settings.CrashThreshold || crashes == l.settings.CrashThreshold-1 && r.span() >= l.settings.MinCrashSpacing
}

// recordFor returns the record of the request, which it creates if there is none. The caller must
// hold l.mu.
func (l *Ledger) recordFor(d Digest, now time.Time) *record {
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

// retention returns how long a record is kept after its lastSeen time.
func (l *Ledger) retention(r *record) time.Duration {
	if l.thresholdReached(r) {
		return l.settings.QuarantineTTL + l.settings.SuspectTTL
	}
	return l.settings.SuspectTTL
}

// expire removes the records whose retention has passed. The caller must hold l.mu.
func (l *Ledger) expire(now time.Time) {
	for d, r := range l.records {
		if now.Sub(r.lastSeen) >= l.retention(r) {
			delete(l.records, d)
		}
	}
}

// evict removes the record with the fewest crashes, and among these the one seen least recently. The
// caller must hold l.mu.
func (l *Ledger) evict() {
	var least Digest
	var found *record
	for d, r := range l.records {
		if found == nil || cmp.Or(cmp.Compare(r.crashCount(), found.crashCount()), r.lastSeen.Compare(found.lastSeen)) < 0 {
			least, found = d, r
		}
	}
	delete(l.records, least)
}

// Merge merges reports of other VMs, whose times are relative to epoch, and returns the requests whose
// records changed.
func (l *Ledger) Merge(reports []Report, epoch, now time.Time) []Digest {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changed []Digest
	for _, report := range reports {
		if l.merge(report.Digest, recordFromReport(report, epoch, now), now) {
			changed = append(changed, report.Digest)
		}
	}
	return changed
}

// merge merges one record of another VM and reports whether the local record changed. The caller must
// hold l.mu.
func (l *Ledger) merge(d Digest, remote *record, now time.Time) bool {
	if l.records[d] == nil && now.Sub(remote.lastSeen) >= l.retention(remote)-expiryMargin {
		return false
	}
	local := l.recordFor(d, now)
	updated := remote.lastSeen.Sub(local.lastSeen) >= l.settings.QuarantineTTL/refreshDivisor
	for _, c := range remote.crashes {
		updated = local.add(c) || updated
	}
	local.touch(remote.lastSeen)
	if l.recentSuccess(d, now) {
		updated = local.clearCrashes() || updated
	}
	return l.changed(local, updated)
}

// Reports returns the reports of the given requests that have a record, with times relative to epoch.
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

// Since returns the reports of the records that changed after the given revision, with times relative
// to epoch, and the current revision as Revision returns it.
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

// Revision returns the revision of the last change, or 0 while there are no records.
func (l *Ledger) Revision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.currentRevision()
}

// currentRevision is Revision for callers that hold l.mu.
func (l *Ledger) currentRevision() uint64 {
	if len(l.records) == 0 {
		return 0
	}
	return l.revision
}

// CrashedReplicas returns the sorted names of the replicas whose crashes count against the request.
func (l *Ledger) CrashedReplicas(d Digest) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.records[d]; r != nil {
		return r.replicas()
	}
	return nil
}
