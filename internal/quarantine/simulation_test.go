package quarantine

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"geraniumcroft/internal/incarnation"
)

// simulation simulates a fleet in virtual time: callers, VMs with a ledger each, and replicas that run
// drafts and crash. It depends on its seed alone. It is not safe for concurrent use.
type simulation struct {
	random    *rand.Rand
	vms       []*simVM
	replicas  []*simReplica
	now       time.Time
	events    eventHeap
	scheduled int

	// maxReportDelay is the longest time that a report takes to another VM.
	maxReportDelay time.Duration
	// repeated makes all innocent drafts have the same content.
	repeated bool
	// firstParts is the number of parts with which the prompts of innocent drafts begin, 0 for prompts
	// without parts. Some are had by many more drafts than others.
	firstParts int
	// spared makes one in so many runs of culprits go well, 0 none.
	spared int

	submitted, refusedInnocent int
	// noReplicaUp counts the sends for which no replica was up, withheld those of suspected drafts that
	// were not made because too few spare replicas were up.
	noReplicaUp, withheld int
	// lateSends counts the sends of a culprit later than propagationTime after thresholdAt.
	lateSends map[Digest]int
	// threshold is the number of crashes after which a culprit has to be known, thresholdAt when it had them.
	threshold   int
	thresholdAt map[Digest]time.Time
	crashesOf   map[Digest]int
}

// simVM is a VM of the fleet.
type simVM struct {
	ledger *Ledger
}

// simReplica is a replica, with the drafts that run on it.
type simReplica struct {
	restarts int
	down     bool
	runs     map[*simDraft]bool
	index    int
}

func (r *simReplica) key() incarnation.Key {
	return incarnation.Key{ID: fmt.Sprint("replica-", r.index), Born: int64(r.restarts + 1)}
}

// simDraft is one request of a caller, which may be sent several times.
type simDraft struct {
	number int
	// identities are those of the draft, cause is the one that crashes replicas, if it is a culprit.
	identities []Identity
	cause      Digest
	culprit    bool
	vm         *simVM
	at         *simReplica
	runs       int
	attempts   int
	// begun is when the current run produced its first event, zero before.
	begun time.Time
	// send is the number of the current send, so that events of earlier sends are ignored.
	send int
}

const (
	simMaxRuns       = 2
	simMaxAttempts   = 2
	simDraftDuration = 3 * time.Second
	simRestartTime   = 3 * time.Second
	// propagationTime is the time by which all VMs must have quarantined a culprit.
	propagationTime = 3 * time.Second

	// lateSendsAllowed is how often a culprit may be sent after propagationTime.
	lateSendsAllowed = 3
	// refusalSlack innocent requests, and one more in each innocentsPerRefusal, may be refused.
	refusalSlack        = 5
	innocentsPerRefusal = 500
)

func newSimulation(seed uint64, vms, replicas int, maxReportDelay time.Duration) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1e9, 0), maxReportDelay: maxReportDelay,
		threshold: DefaultSettings.CrashThreshold, lateSends: map[Digest]int{}, thresholdAt: map[Digest]time.Time{}, crashesOf: map[Digest]int{},
	}
	for range vms {
		s.vms = append(s.vms, &simVM{ledger: NewLedger(DefaultSettings, s.now)})
	}
	for i := range replicas {
		s.replicas = append(s.replicas, &simReplica{index: i, runs: map[*simDraft]bool{}})
	}
	return s
}

// schedule calls do after d in virtual time.
func (s *simulation) schedule(d time.Duration, do func()) {
	s.scheduled++
	heap.Push(&s.events, event{at: s.now.Add(d), number: s.scheduled, do: do})
}

// randomBetween returns a random duration from least to most.
func (s *simulation) randomBetween(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)+1))
}

// run executes events for the given duration of virtual time.
func (s *simulation) run(duration time.Duration) {
	end := s.now.Add(duration)
	for s.events.Len() > 0 {
		next := heap.Pop(&s.events).(event)
		if next.at.After(end) {
			return
		}
		s.now = next.at
		next.do()
	}
}

// callers submits innocent drafts at the given rate per second.
func (s *simulation) callers(rate float64) {
	n := 0
	var next func()
	next = func() {
		n++
		content := fmt.Sprint("draft ", n)
		if s.repeated {
			content = "the same draft"
		}
		s.submitted++
		s.arrive(&simDraft{identities: s.identitiesOf(content, s.firstPart()), attempts: 1})
		s.schedule(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	s.schedule(0, next)
}

// firstPart returns the parts with which an innocent draft begins.
func (s *simulation) firstPart() []string {
	if s.firstParts == 0 {
		return nil
	}
	return []string{fmt.Sprint("first ", int(float64(s.firstParts)*math.Pow(s.random.Float64(), 2)))}
}

func (s *simulation) identitiesOf(content string, parts []string) []Identity {
	return append([]Identity{RequestIdentity(DigestOf(Content{Body: []byte(content)}))}, PartIdentities("drafts", parts)...)
}

// culpritPart submits drafts with a part that crashes the replica that runs them, no two of them alike. It
// stands behind the first part of innocent drafts, or is the first one itself.
func (s *simulation) culpritPart(name string, first bool, pause time.Duration) {
	n, cause := 0, PartIdentities("drafts", []string{name})[0].Digest
	var next func()
	next = func() {
		n++
		parts := append(s.firstPart(), name)
		if first {
			parts = []string{name}
		}
		s.arrive(&simDraft{identities: s.identitiesOf(fmt.Sprint(name, n), parts), culprit: true, cause: cause, attempts: 1})
		s.schedule(s.randomBetween(pause/2, 3*pause/2), next)
	}
	s.schedule(pause, next)
}

// culprit submits a draft that crashes the replica that runs it, again and again.
func (s *simulation) culprit(name string, pause time.Duration) {
	d := DigestOf(Content{Body: []byte(name)})
	var next func()
	next = func() {
		s.arrive(&simDraft{identities: []Identity{RequestIdentity(d)}, culprit: true, cause: d, attempts: 1})
		s.schedule(s.randomBetween(pause/2, 3*pause/2), next)
	}
	s.schedule(pause, next)
}

// arrive sends a draft to a random VM.
func (s *simulation) arrive(d *simDraft) {
	s.scheduled++
	d.number, d.vm, d.runs = s.scheduled, s.vms[s.random.IntN(len(s.vms))], 0
	s.next(d)
}

// status returns what the draft's VM knows of it.
func (s *simulation) status(d *simDraft) Status {
	var worst Status
	for _, id := range d.identities {
		if st := d.vm.ledger.Lookup(id.Digest, s.now); st.Worse(worst) {
			worst = st
		}
	}
	return worst
}

// next sends a draft again, or ends it if it is refused or was sent too often.
func (s *simulation) next(d *simDraft) {
	switch {
	case s.status(d).Quarantined:
		if !d.culprit {
			s.refusedInnocent++
		}
		return
	case d.runs >= simMaxRuns:
		if d.attempts < simMaxAttempts {
			d.attempts++
			s.schedule(s.randomBetween(0, 200*time.Millisecond), func() { s.arrive(d) })
		}
		return
	}
	s.send(d)
}

// send sends a draft to a random replica that is up, if enough are.
func (s *simulation) send(d *simDraft) {
	up := s.up()
	if len(up) == 0 {
		s.noReplicaUp++
		return
	}
	if len(up) <= s.status(d).SpareReplicas {
		s.withheld++
		return
	}
	r := up[s.random.IntN(len(up))]
	if at, reached := s.thresholdAt[d.cause]; reached && d.culprit && s.now.Sub(at) > propagationTime {
		s.lateSends[d.cause]++
	}
	d.send++
	d.at, d.runs, d.begun = r, d.runs+1, time.Time{}
	r.runs[d] = true
	send := d.send
	s.schedule(s.randomBetween(30*time.Millisecond, 200*time.Millisecond), func() {
		if d.send != send || d.at == nil {
			return
		}
		if d.culprit && (s.spared == 0 || s.random.IntN(s.spared) > 0) {
			s.crashesOf[d.cause]++
			if s.crashesOf[d.cause] == s.threshold {
				s.thresholdAt[d.cause] = s.now
			}
			s.crash(r)
			return
		}
		d.begun = s.now
		s.schedule(DefaultSettings.CrashWindow, func() {
			if d.send == send && d.at != nil {
				s.shareReports(d, func(id Identity) bool { return d.vm.ledger.RecordSuccess(id, s.now) })
			}
		})
		s.schedule(simDraftDuration, func() {
			if d.send == send && d.at != nil {
				delete(r.runs, d)
				d.at = nil
			}
		})
	})
}

// up returns the replicas that are running.
func (s *simulation) up() []*simReplica {
	var up []*simReplica
	for _, r := range s.replicas {
		if !r.down {
			up = append(up, r)
		}
	}
	return up
}

// crash crashes a replica and all of its runs, and starts it again after simRestartTime.
func (s *simulation) crash(r *simReplica) {
	if r.down {
		return
	}
	r.down = true
	key, broken := r.key(), r.runs
	r.runs = map[*simDraft]bool{}
	s.schedule(simRestartTime, func() { r.down, r.restarts = false, r.restarts+1 })
	for _, d := range sortedByNumber(broken) {
		inCrashWindow := d.begun.IsZero() || s.now.Sub(d.begun) < DefaultSettings.CrashWindow
		d.at = nil
		if inCrashWindow {
			s.shareReports(d, func(id Identity) bool { return d.vm.ledger.RecordCrash(id, key, s.now) })
		}
		s.schedule(time.Millisecond, func() { s.next(d) })
	}
}

// sortedByNumber gives the drafts a fixed order, so that a simulation depends on its seed alone.
func sortedByNumber(broken map[*simDraft]bool) []*simDraft {
	order := slices.Collect(maps.Keys(broken))
	slices.SortFunc(order, func(a, b *simDraft) int { return cmp.Compare(a.number, b.number) })
	return order
}

// shareReports sends the reports of the draft's identities that update changes from its VM to all others.
func (s *simulation) shareReports(d *simDraft, update func(Identity) bool) {
	for _, id := range d.identities {
		if update(id) {
			s.shareReport(d.vm, id.Digest)
		}
	}
}

// shareReport sends the report of an identity from one VM to all others.
func (s *simulation) shareReport(from *simVM, d Digest) {
	epoch := s.now
	reports := from.ledger.Reports(epoch, d)
	for _, vm := range s.vms {
		if vm != from {
			s.schedule(s.randomBetween(time.Millisecond, s.maxReportDelay), func() {
				_, acquitted := vm.ledger.Merge(reports, epoch, s.now)
				for _, d := range acquitted {
					s.shareReport(vm, d)
				}
			})
		}
	}
}

// crashes makes single replicas crash at intervals of about pause, and about a third of them together
// every rackPause.
func (s *simulation) crashes(pause, rackPause time.Duration) {
	var single, rack func()
	single = func() {
		s.crash(s.replicas[s.random.IntN(len(s.replicas))])
		s.schedule(s.randomBetween(pause/2, 3*pause/2), single)
	}
	rack = func() {
		for _, r := range s.replicas {
			if s.random.IntN(3) == 0 {
				s.crash(r)
			}
		}
		s.schedule(rackPause, rack)
	}
	s.schedule(pause, single)
	s.schedule(rackPause, rack)
}
