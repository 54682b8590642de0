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

// Ledger records the identities that may crash replicas, as far as this VM knows them. It is safe for
// concurrent use.
type Ledger struct {
	settings Settings

	mu      sync.Mutex // guards the fields below
	records map[Digest]*record
	// successes holds what successful runs on this VM excuse.
	successes *lru.Cache[Digest, excuses]
	// candidates are the records whose crashes are enough for a quarantine, unless others explain them.
	candidates map[*record]struct{}
	// causes holds the crashes that culprits explain, by the id of the replica. It is computed anew, with
	// the culprit flags of the candidates, when causesStale is set.
	causes      map[string][]cause
	causesStale bool
	// revision increases with each change. It starts at the wall clock time in microseconds, so that
	// the revisions of the next process of this VM are higher.
	revision uint64
}

// NewLedger returns an empty ledger for a VM that starts at now.
func NewLedger(s Settings, now time.Time) *Ledger {
	l := &Ledger{settings: s, records: map[Digest]*record{}, candidates: map[*record]struct{}{}, revision: uint64(now.UnixMicro())}
	l.successes, _ = lru.New[Digest, excuses](max(1, s.MaxSuccesses)) // returns an error only for a size below 1
	return l
}

// CrashWindow returns how long a run must have produced events to clear its request.
func (l *Ledger) CrashWindow() time.Duration { return l.settings.CrashWindow }

// RecordCrash records that a replica crashed within the crash window of a run. It reports whether the
// record of the identity changed, so that other VMs must be informed.
func (l *Ledger) RecordCrash(id Identity, replica incarnation.Key, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.recordFor(id, now)
	c := crash{replica: replica, at: now, excused: !r.knows(replica) && l.excuse(id.Digest, now)}
	return l.changed(r, r.add(c))
}

// RecordSuccess records that a run was successful, which clears earlier crashes of the identity and excuses
// a later one. For a part of prompts it does only one of the two: a part that crashes most of its replicas
// would have all of them excused. It reports whether the record changed, so that other VMs must be informed.
func (l *Ledger) RecordSuccess(id Identity, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	cleared := l.clearCrashes(id.Digest)
	if id.Part == "" || !cleared {
		l.addExcuse(id.Digest, now)
	}
	return cleared
}

// addExcuse records that a successful run excuses one more crash. The caller must hold l.mu.
func (l *Ledger) addExcuse(d Digest, now time.Time) {
	left := 0
	if e, ok := l.successes.Peek(d); ok && now.Sub(e.at) < l.settings.SuccessTTL {
		left = e.left
	}
	l.successes.Add(d, excuses{at: now, left: min(left+1, l.settings.MaxExcuses)})
}

// Lift clears the crashes of the identity on behalf of an operator and reports whether there were any.
func (l *Ledger) Lift(d Digest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clearCrashes(d)
}

// excuses is the number of crashes that the successful runs of an identity still excuse.
type excuses struct {
	at   time.Time
	left int
}

// excuse reports whether a successful run within Settings.SuccessTTL excuses a crash, which uses it up. The
// caller must hold l.mu.
func (l *Ledger) excuse(d Digest, now time.Time) bool {
	e, ok := l.successes.Peek(d)
	if !ok || e.left == 0 || now.Sub(e.at) >= l.settings.SuccessTTL {
		return false
	}
	e.left--
	l.successes.Add(d, e)
	return true
}

// clearCrashes clears the crashes of the identity and reports whether there were any. The caller must hold
// l.mu.
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
		l.updateCandidate(r)
	}
	return changed
}

// Lookup returns the status of an identity.
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
	l.findCulprits()
	idle := now.Sub(r.lastSeen)
	if !r.culprit {
		st := Status{}
		if idle < l.settings.SuspectTTL {
			st.Crashes = len(l.unexplained(r, r.crashCount()))
			l.requireSpare(&st, idle)
		}
		return st
	}
	st := Status{Crashes: r.crashCount()}
	if idle < l.settings.QuarantineTTL {
		st.Quarantined, st.Left = true, l.settings.QuarantineTTL-idle
	} else {
		st.Crashes = min(st.Crashes, l.settings.CrashThreshold-1) // one more crash quarantines it again
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

// thresholdReached reports whether crashes are enough to quarantine an identity. A request is on one replica
// at a time. A part of prompts is on many, so that it takes crashes at different times.
func (l *Ledger) thresholdReached(id Identity, crashes []crash) bool {
	n, apart := len(crashes), spanOf(crashes) >= l.settings.MinCrashSpacing
	if id.Part != "" {
		return n >= l.settings.CrashThreshold && apart
	}
	return n >= l.settings.CrashThreshold || n == l.settings.CrashThreshold-1 && apart
}

// recordFor returns the record of the identity, which it creates if there is none. The caller must
// hold l.mu.
func (l *Ledger) recordFor(id Identity, now time.Time) *record {
	r := l.records[id.Digest]
	if r == nil {
		if len(l.records) >= l.settings.MaxRecords {
			l.expire(now)
		}
		if len(l.records) >= l.settings.MaxRecords {
			l.evict()
		}
		r = &record{identity: id}
		l.records[id.Digest] = r
	}
	// Prompts may have a part at different positions, and a VM of an earlier version passes the record on
	// without one. All VMs have to use the same.
	if id.Position > r.identity.Position {
		r.identity = id
		l.updateCandidate(r)
	}
	return r
}

// retention returns how long a record is kept after its lastSeen time.
func (l *Ledger) retention(r *record) time.Duration {
	if l.thresholdReached(r.identity, r.counted()) {
		return l.settings.QuarantineTTL + l.settings.SuspectTTL
	}
	return l.settings.SuspectTTL
}

// expire removes the records whose retention has passed. The caller must hold l.mu.
func (l *Ledger) expire(now time.Time) {
	for _, r := range l.records {
		if now.Sub(r.lastSeen) >= l.retention(r) {
			l.remove(r)
		}
	}
}

// evict removes the record with the fewest crashes, and among these the one seen least recently. The
// caller must hold l.mu.
func (l *Ledger) evict() {
	var least *record
	for _, r := range l.records {
		if least == nil || cmp.Or(cmp.Compare(r.crashCount(), least.crashCount()), r.lastSeen.Compare(least.lastSeen)) < 0 {
			least = r
		}
	}
	l.remove(least)
}

func (l *Ledger) remove(r *record) {
	delete(l.records, r.identity.Digest)
	if _, candidate := l.candidates[r]; candidate {
		delete(l.candidates, r)
		l.causesStale = true
	}
}

// Merge merges reports of other VMs, whose times are relative to epoch. It returns the identities whose
// records changed, and those of them that other VMs quarantine although successful runs on this VM excuse
// their crashes, so that these VMs must be informed.
func (l *Ledger) Merge(reports []Report, epoch, now time.Time) (changed, acquitted []Digest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, report := range reports {
		remote := recordFromReport(report, epoch, now)
		if !l.merge(remote, now) {
			continue
		}
		changed = append(changed, report.Digest)
		if l.thresholdReached(remote.identity, remote.counted()) && !l.thresholdReached(remote.identity, l.records[report.Digest].counted()) {
			acquitted = append(acquitted, report.Digest)
		}
	}
	return changed, acquitted
}

// merge merges one record of another VM and reports whether the local record changed. The caller must
// hold l.mu.
func (l *Ledger) merge(remote *record, now time.Time) bool {
	id := remote.identity
	if l.records[id.Digest] == nil && now.Sub(remote.lastSeen) >= l.retention(remote)-expiryMargin {
		return false
	}
	local := l.recordFor(id, now)
	updated := remote.lastSeen.Sub(local.lastSeen) >= l.settings.QuarantineTTL/refreshDivisor
	for _, c := range remote.crashes {
		c.excused = c.excused || !c.cleared && !local.knows(c.replica) && l.excuse(id.Digest, now)
		updated = local.add(c) || updated
	}
	local.touch(remote.lastSeen)
	return l.changed(local, updated)
}

// Reports returns the reports of the given requests that have a record, with times relative to epoch.
func (l *Ledger) Reports(epoch time.Time, of ...Digest) []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var reports []Report
	for _, d := range of {
		if r := l.records[d]; r != nil {
			reports = append(reports, r.report(epoch))
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
	for _, r := range l.records {
		if r.revision > after {
			reports = append(reports, r.report(epoch))
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
