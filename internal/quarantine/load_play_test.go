package quarantine

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"geraniumcroft/internal/incarnation"
)

// loadPlay is a fleet in virtual time: callers, VMs with a ledger each, and replicas at which
// drafts begin, some of which crash.
type loadPlay struct {
	random   *rand.Rand
	vms      []*playedVM
	replicas []*playedReplica
	now      time.Time
	events   eventHeap
	planned  int

	// spread is the longest that a report takes to another VM.
	spread time.Duration
	// repeated makes all innocent callers ask for the same.
	repeated bool

	asked, refusedInnocent int
	// nobodyUp counts the sends for which no replica was up, kept those of suspects that were kept
	// from the last replicas.
	nobodyUp, kept int
	lateSends      map[Digest]int
	thirdEnd       map[Digest]time.Time
	crashesOf      map[Digest]int
}

type playedVM struct {
	ledger *Ledger
}

type playedReplica struct {
	life  int
	down  bool
	runs  map[*playedDraft]bool
	index int
}

func (r *playedReplica) key() incarnation.Key {
	return incarnation.Key{ID: fmt.Sprint("replica-", r.index), Born: int64(r.life + 1)}
}

// playedDraft is one attempt of a caller.
type playedDraft struct {
	number   int
	digest   Digest
	culprit  bool
	vm       *playedVM
	at       *playedReplica
	runs     int
	attempts int
	// begun is when the present run brought its first event, zero before.
	begun time.Time
	// send numbers the sends, so that events of an earlier one are passed over.
	send int
}

const (
	playedMaxRuns     = 2
	playedMaxAttempts = 2
	playedLength      = 3 * time.Second
	playedDownTime    = 3 * time.Second
	playedStability   = 3 * time.Second

	// lateSendsAllowed is how often a culprit may be sent once all VMs have to know it.
	lateSendsAllowed = 3
	// Of all requests so many may be refused by mistake, and one in innocentsPerRefusal.
	refusalSlack        = 5
	innocentsPerRefusal = 500
)

func newLoadPlay(seed uint64, vms, replicas int, spread time.Duration) *loadPlay {
	p := &loadPlay{
		random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1e9, 0), spread: spread,
		lateSends: map[Digest]int{}, thirdEnd: map[Digest]time.Time{}, crashesOf: map[Digest]int{},
	}
	for range vms {
		p.vms = append(p.vms, &playedVM{ledger: NewLedger(DefaultSettings, p.now)})
	}
	for i := range replicas {
		p.replicas = append(p.replicas, &playedReplica{index: i, runs: map[*playedDraft]bool{}})
	}
	return p
}

func (p *loadPlay) after(d time.Duration, do func()) {
	p.planned++
	heap.Push(&p.events, event{at: p.now.Add(d), number: p.planned, do: do})
}

func (p *loadPlay) between(least, most time.Duration) time.Duration {
	return least + time.Duration(p.random.Int64N(int64(most-least)+1))
}

func (p *loadPlay) run(lasting time.Duration) {
	end := p.now.Add(lasting)
	for p.events.Len() > 0 {
		next := heap.Pop(&p.events).(event)
		if next.at.After(end) {
			return
		}
		p.now = next.at
		next.do()
	}
}

// callers starts drafts at a rate a second.
func (p *loadPlay) callers(rate float64) {
	n := 0
	var next func()
	next = func() {
		n++
		content := fmt.Sprint("draft ", n)
		if p.repeated {
			content = "the same draft"
		}
		p.asked++
		p.arrive(&playedDraft{digest: DigestOf(Content{Body: []byte(content)}), attempts: 1})
		p.after(time.Duration(p.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	p.after(0, next)
}

// culprit sends a request that crashes what runs it, again and again.
func (p *loadPlay) culprit(name string, pause time.Duration) {
	d := DigestOf(Content{Body: []byte(name)})
	var next func()
	next = func() {
		p.arrive(&playedDraft{digest: d, culprit: true, attempts: 1})
		p.after(p.between(pause/2, 3*pause/2), next)
	}
	p.after(pause, next)
}

func (p *loadPlay) arrive(d *playedDraft) {
	p.planned++
	d.number, d.vm, d.runs = p.planned, p.vms[p.random.IntN(len(p.vms))], 0
	p.next(d)
}

// next sends a draft once more, or ends it.
func (p *loadPlay) next(d *playedDraft) {
	switch {
	case d.vm.ledger.Lookup(d.digest, p.now).Quarantined:
		if !d.culprit {
			p.refusedInnocent++
		}
		return
	case d.runs >= playedMaxRuns:
		if d.attempts < playedMaxAttempts {
			d.attempts++
			p.after(p.between(0, 200*time.Millisecond), func() { p.arrive(d) })
		}
		return
	}
	p.send(d)
}

func (p *loadPlay) send(d *playedDraft) {
	up := p.up()
	if len(up) == 0 {
		p.nobodyUp++
		return
	}
	if len(up) <= d.vm.ledger.Lookup(d.digest, p.now).SpareReplicas {
		p.kept++
		return
	}
	r := up[p.random.IntN(len(up))]
	if at, ended := p.thirdEnd[d.digest]; ended && d.culprit && p.now.Sub(at) > playedStability {
		p.lateSends[d.digest]++
	}
	d.send++
	d.at, d.runs, d.begun = r, d.runs+1, time.Time{}
	r.runs[d] = true
	send := d.send
	p.after(p.between(30*time.Millisecond, 200*time.Millisecond), func() {
		if d.send != send || d.at == nil {
			return
		}
		if d.culprit {
			p.crashesOf[d.digest]++
			if p.crashesOf[d.digest] == DefaultSettings.CrashThreshold {
				p.thirdEnd[d.digest] = p.now
			}
			p.crash(r)
			return
		}
		d.begun = p.now
		p.after(DefaultSettings.CrashWindow, func() {
			if d.send == send && d.at != nil && d.vm.ledger.RecordSuccess(d.digest, p.now) {
				p.tell(d.vm, d.digest)
			}
		})
		p.after(playedLength, func() {
			if d.send == send && d.at != nil {
				delete(r.runs, d)
				d.at = nil
			}
		})
	})
}

// up returns the replicas that run.
func (p *loadPlay) up() []*playedReplica {
	var up []*playedReplica
	for _, r := range p.replicas {
		if !r.down {
			up = append(up, r)
		}
	}
	return up
}

// crash ends a replica with all its runs, and starts it again later.
func (p *loadPlay) crash(r *playedReplica) {
	if r.down {
		return
	}
	r.down = true
	key, broken := r.key(), r.runs
	r.runs = map[*playedDraft]bool{}
	p.after(playedDownTime, func() { r.down, r.life = false, r.life+1 })
	for _, d := range inOrder(broken) {
		young := d.begun.IsZero() || p.now.Sub(d.begun) < DefaultSettings.CrashWindow
		d.at = nil
		if young && d.vm.ledger.RecordCrash(d.digest, key, p.now) {
			p.tell(d.vm, d.digest)
		}
		p.after(time.Millisecond, func() { p.next(d) })
	}
}

// inOrder makes a play depend on its seed alone.
func inOrder(broken map[*playedDraft]bool) []*playedDraft {
	order := slices.Collect(maps.Keys(broken))
	slices.SortFunc(order, func(a, b *playedDraft) int { return cmp.Compare(a.number, b.number) })
	return order
}

// tell spreads what a VM knows of a request to all others.
func (p *loadPlay) tell(from *playedVM, d Digest) {
	epoch := p.now
	reports := from.ledger.Reports(epoch, d)
	for _, vm := range p.vms {
		if vm != from {
			p.after(p.between(time.Millisecond, p.spread), func() { vm.ledger.Merge(reports, epoch, p.now) })
		}
	}
}

// crashes makes single replicas crash by themselves, and a third of them at once now and then.
func (p *loadPlay) crashes(pause, rackPause time.Duration) {
	var single, rack func()
	single = func() {
		p.crash(p.replicas[p.random.IntN(len(p.replicas))])
		p.after(p.between(pause/2, 3*pause/2), single)
	}
	rack = func() {
		for _, r := range p.replicas {
			if p.random.IntN(3) == 0 {
				p.crash(r)
			}
		}
		p.after(rackPause, rack)
	}
	p.after(pause, single)
	p.after(rackPause, rack)
}
