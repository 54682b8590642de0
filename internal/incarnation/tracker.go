package incarnation

import (
	"sync"
	"time"
)

const (
	// maxAhead is by how much a start may lie in the future, as clocks of VMs and replicas
	// differ. One that lies further ahead would make every later start look earlier.
	maxAhead = 10 * time.Second
	// silence is for how long a later incarnation must have said nothing before an earlier
	// start is believed: a replica whose clock was set back starts "before" its predecessor,
	// and would be lost for good. A late word of a dead replica is overwritten at its
	// successor's next heartbeat, some 1.2 s, and reports come each second.
	silence = 5 * time.Second
	// kept is how long an incarnation that nobody speaks of any more is remembered. Writes
	// that were given up are carried out within seconds.
	kept = 5 * time.Minute
)

// Tracker knows the newest incarnation of each replica. It is safe for concurrent use.
type Tracker struct {
	mu    sync.Mutex // guards the fields below
	lives map[string]*life
	// missingTold says that FaultMissing was told of: where one replica gives no start, most
	// don't.
	missingTold bool
}

// life is the newest incarnation of one id.
type life struct {
	born int64
	// heard is when a word of it last arrived.
	heard time.Time
	// earlier is a start before born that somebody spoke of since, earlierSince when first.
	earlier      int64
	earlierSince time.Time
	// reported are the faults that were told of already.
	reported map[Fault]bool
}

// NewTracker returns a tracker that knows nobody.
func NewTracker() *Tracker { return &Tracker{lives: map[string]*life{}} }

// Observation is what a word of a replica means.
type Observation struct {
	// Key is the incarnation that the word counts for; see Earlier.
	Key Key
	// Previous is the incarnation that was the newest until now, if Restarted is set.
	Previous  Key
	Restarted bool
	// Superseded says that the word is of an incarnation that has been succeeded: it is late
	// and says nothing about the present one, which is Key.
	Superseded bool
	// Fault says what is wrong with the start, FaultNone if nothing is.
	Fault Fault
	// FirstReport says that this fault was not told of before, of this replica; a missing start
	// is told of once for all.
	FirstReport bool
}

// Observe takes a word of the incarnation at that time. A start that is not usable counts for
// the incarnation that is known.
func (t *Tracker) Observe(k Key, now time.Time) Observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.lives[k.ID]
	if l == nil {
		l = &life{reported: map[Fault]bool{}}
		t.lives[k.ID] = l
	}
	h := Observation{Key: k, Fault: faultOf(k, now)}
	switch {
	case h.Fault != FaultNone:
		l.heard = now
	case k.Born > l.born:
		h.Previous, h.Restarted = Key{ID: k.ID, Born: l.born}, l.born > 0
		l.begin(k.Born, now)
	case k.Born < l.born:
		h.Previous = Key{ID: k.ID, Born: l.born}
		h.Fault = FaultEarlier
		h.Restarted = l.believes(k.Born, now)
		h.Superseded = !h.Restarted
	default:
		l.heard, l.earlier = now, 0
	}
	h.Key.Born = l.born
	h.FirstReport = t.firstTime(l, h.Fault)
	return h
}

// firstTime reports whether a fault was not told of before: of each replica, and a missing
// start of any.
func (t *Tracker) firstTime(l *life, fault Fault) bool {
	switch {
	case fault == FaultNone, l.reported[fault], fault == FaultMissing && t.missingTold:
		return false
	case fault == FaultMissing:
		t.missingTold = true
	}
	l.reported[fault] = true
	return true
}

func faultOf(k Key, now time.Time) Fault {
	switch {
	case k.Born == BornMissing:
		return FaultMissing
	case k.Born < 0:
		return FaultUnreadable
	case time.UnixMilli(k.Born).After(now.Add(maxAhead)):
		return FaultAhead
	}
	return FaultNone
}

func (l *life) begin(born int64, now time.Time) {
	l.born, l.heard, l.earlier = born, now, 0
}

// believes takes an earlier start over once the later incarnation has been silent for long
// enough while the earlier one was spoken of.
func (l *life) believes(born int64, now time.Time) bool {
	if l.earlier != born {
		l.earlier, l.earlierSince = born, now
	}
	if now.Sub(l.earlierSince) < silence || now.Sub(l.heard) < silence {
		return false
	}
	l.begin(born, now)
	return true
}

// Newest returns the newest incarnation that is known of the replica.
func (t *Tracker) Newest(id string) Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := Key{ID: id}
	if l := t.lives[id]; l != nil {
		k.Born = l.born
	}
	return k
}

// Forget drops what is known of replicas that are not listed and were not heard of for long.
func (t *Tracker) Forget(listed func(id string) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, l := range t.lives {
		if !listed(id) && now.Sub(l.heard) > kept {
			delete(t.lives, id)
		}
	}
}
