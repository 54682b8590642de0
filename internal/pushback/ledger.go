package pushback

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/incarnation"
)

const (
	// forgetAfter is how long a replica that says nothing more is remembered, and leavingForgetAfter one
	// that leaves.
	forgetAfter        = 10 * time.Minute
	leavingForgetAfter = 24 * time.Hour
)

// Ledger keeps what replicas have said. It is safe for concurrent use.
type Ledger struct {
	logger *zap.Logger
	// active counts the replicas that have something in force.
	active atomic.Int32

	mu       sync.Mutex // guards the fields below
	replicas map[incarnation.Key]*state
	fleet    Fleet
	onChange func(incarnation.Key)
	// onLeaving is told of a replica that leaves, outside of the lock.
	onLeaving func(incarnation.Key)

	// parts is partOf but in tests.
	parts func(Limit, Fleet, int) part
}

// NewLedger returns a ledger of replicas that have said nothing.
func NewLedger(logger *zap.Logger) *Ledger {
	return &Ledger{logger: logger, replicas: map[incarnation.Key]*state{}, onChange: func(incarnation.Key) {}, onLeaving: func(incarnation.Key) {}, parts: partOf}
}

// OnChange sets the function that is told of a replica that says something else than before, by an
// answer to this VM. It is called under the ledger's lock and must not block or call back.
func (l *Ledger) OnChange(f func(incarnation.Key)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onChange = f
}

// Observe takes what an answer says.
func (l *Ledger) Observe(from Origin, signal Signal, now time.Time) {
	if l.take(from, signal, now) {
		l.onLeaving(from.Replica)
	}
}

// take takes what an answer says, and reports whether it is new that the replica leaves.
func (l *Ledger) take(from Origin, signal Signal, now time.Time) (leaves bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.replicas[from.Replica]
	if s == nil {
		if signal == (Signal{}) {
			return false
		}
		s = l.add(from.Replica, from.DataCentre, now)
	}
	s.heard = now
	if signal.ParseErr != nil {
		l.unreadable(from.Replica, s, signal.ParseErr)
	}
	if signal.BackOff > 0 {
		l.backOff(from.Replica, s, signal.BackOff, now)
	} else {
		l.takesAgain(from, s)
	}
	leaves = signal.Leaving && l.leaves(from.Replica, s, "replica")
	// The answer to a request that was sent before the limit was heard of may be older than the limit.
	limitKnown := !signal.LimitInvalid && (signal.Limit.Set || !from.Sent.Before(s.since))
	changed := leaves
	if limitKnown {
		s.told = now
		changed = l.limited(from.Replica, s, signal.Limit, now, "replica") || leaves
	}
	if changed {
		l.onChange(from.Replica)
	}
	return leaves
}

// add begins to keep what a replica says. l.mu is held.
func (l *Ledger) add(replica incarnation.Key, dataCentre string, now time.Time) *state {
	for key, s := range l.replicas {
		if s.forgotten(now) {
			delete(l.replicas, key)
		}
	}
	s := &state{dataCentre: dataCentre, heard: now}
	l.replicas[replica] = s
	l.count()
	return s
}

// count counts what is in force, or was until lately. l.mu is held.
func (l *Ledger) count() {
	active := 0
	for _, s := range l.replicas {
		if s.limit.Set || s.leaving || !s.backOffUntil.IsZero() {
			active++
		}
	}
	l.active.Store(int32(active))
}

// unreadable logs a fault once for each replica and kind of fault. l.mu is held.
func (l *Ledger) unreadable(replica incarnation.Key, s *state, why error) {
	if text := why.Error(); text != s.unreadable {
		s.unreadable = text
		l.logger.Warn("what a replica asks of its callers not read; what it said before stays in force",
			zap.Stringer("replica", replica), zap.Error(why))
	}
}

// of looks at what a replica has said, if it has said anything that may be in force.
func (l *Ledger) of(replica incarnation.Key, look func(*state)) {
	if !l.Active() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.replicas[replica]; s != nil {
		look(s)
	}
}

// Sent counts a request that is about to be sent to a replica.
func (l *Ledger) Sent(replica incarnation.Key) {
	l.of(replica, func(s *state) {
		s.sent++
		s.backOffSent++
	})
}
