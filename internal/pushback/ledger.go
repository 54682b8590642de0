package pushback

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"geraniumcroft/internal/incarnation"
)

// forgetAfter is how long a replica that says nothing more is remembered.
const forgetAfter = 10 * time.Minute

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

// OnLeaving sets the function that is told of a replica which says that it leaves, by an answer to this
// VM or by the word of another one. It is set before the ledger is used.
func (l *Ledger) OnLeaving(f func(incarnation.Key)) { l.onLeaving = f }

// Leaving reports whether a replica has said that it leaves.
func (l *Ledger) Leaving(replica incarnation.Key) bool {
	if !l.Active() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.replicas[replica]
	return s != nil && s.leaving
}

// SetFleet tells which VMs share the replicas.
func (l *Ledger) SetFleet(fleet Fleet, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet = fleet
	for key, s := range l.replicas {
		if s.limit.Named {
			l.divide(key, s, now)
		}
	}
}

// divide works out this VM's part of a replica's limit. l.mu is held.
func (l *Ledger) divide(key incarnation.Key, s *state, now time.Time) {
	s.share(l.parts(s.limit, l.fleet, l.fleet.rank(key, s.dataCentre)), now)
}

// Heard takes what an answer says.
func (l *Ledger) Heard(from Origin, signal Signal, now time.Time) {
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
	if signal.Unreadable != nil {
		l.unreadable(from.Replica, s, signal.Unreadable)
	}
	if signal.BackOff > 0 {
		l.backOff(from.Replica, s, signal.BackOff, now)
	} else {
		l.takesAgain(from, s)
	}
	leaves = signal.Leaving && l.leaves(from.Replica, s, "replica")
	// The answer to a request that was sent before the limit was heard of may be older than the limit.
	limitKnown := !signal.LimitUnread && (signal.Limit.Named || !from.Sent.Before(s.since))
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

// leaves takes that a replica leaves, and reports whether that is new. l.mu is held.
func (l *Ledger) leaves(key incarnation.Key, s *state, by string) bool {
	if s.leaving {
		return false
	}
	s.leaving = true
	l.count()
	l.logger.Info("replica says that it leaves", zap.Stringer("replica", key), zap.String("by", by))
	return true
}

// add begins to keep what a replica says. l.mu is held.
func (l *Ledger) add(replica incarnation.Key, dataCentre string, now time.Time) *state {
	for key, s := range l.replicas {
		if !s.leaving && now.Sub(s.told) > forgetAfter && now.Sub(s.heard) > forgetAfter {
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
		if s.limit.Named || s.leaving || !s.backOffUntil.IsZero() {
			active++
		}
	}
	l.active.Store(int32(active))
}

// limited takes a limit, or that there is none, and reports whether it is another one than before.
// l.mu is held.
func (l *Ledger) limited(key incarnation.Key, s *state, limit Limit, now time.Time, by string) bool {
	if limit == s.limit {
		return false
	}
	var lasted time.Duration
	if s.limit.Named {
		lasted = now.Sub(s.since)
	} else {
		s.since, s.sent = now, 0
	}
	before := s.limit
	s.limit = limit
	s.part, s.bucket, s.tried = part{}, s.keptBucket(), time.Time{}
	if limit.Named {
		l.divide(key, s, now)
	}
	l.count()
	l.logger.Info("rate limit of a replica", zap.Stringer("replica", key), zap.String("by", by),
		zap.Bool("limited", limit.Named), zap.Float64("perSecond", limit.PerSecond),
		zap.Bool("limitedBefore", before.Named), zap.Float64("perSecondBefore", before.PerSecond),
		zap.Duration("lasted", lasted), zap.Uint64("sent", s.sent), zap.Int("vms", len(l.fleet.VMs)),
		zap.Bool("sender", s.part.sender), zap.Float64("ownPerSecond", s.part.rate))
	return true
}

// backOff takes that a replica wants no requests from this VM for a time. l.mu is held.
func (l *Ledger) backOff(key incarnation.Key, s *state, wanted time.Duration, now time.Time) {
	left := s.backOffLeft(now)
	if left >= wanted {
		return
	}
	if left <= 0 {
		s.backOffSince, s.backOffSent = now, 0
	}
	s.backOffUntil = now.Add(wanted)
	l.count()
	l.logger.Info("replica asks to back off", zap.Stringer("replica", key), zap.Duration("wanted", wanted), zap.Duration("left", left),
		zap.Duration("since", now.Sub(s.backOffSince)), zap.Uint64("sent", s.backOffSent))
}

// takesAgain ends what is left of a back-off when the replica takes a request that was sent after it.
// l.mu is held.
func (l *Ledger) takesAgain(from Origin, s *state) {
	if s.backOffUntil.IsZero() || from.Sent.Before(s.backOffUntil) {
		return
	}
	l.logger.Info("replica takes requests again after it asked to back off", zap.Stringer("replica", from.Replica),
		zap.Duration("wanted", s.backOffUntil.Sub(s.backOffSince)), zap.Uint64("sent", s.backOffSent))
	s.backOffUntil = time.Time{}
	l.count()
}

// keptBucket is the bucket that a new limit goes on with, nil where there is none any more.
func (s *state) keptBucket() *rate.Limiter {
	if !s.limit.Named {
		return nil
	}
	return s.bucket
}

// unreadable logs a fault once for each replica and kind of fault. l.mu is held.
func (l *Ledger) unreadable(replica incarnation.Key, s *state, why error) {
	if text := why.Error(); text != s.unreadable {
		s.unreadable = text
		l.logger.Warn("what a replica asks of its callers not read; what it said before stays in force",
			zap.Stringer("replica", replica), zap.Error(why))
	}
}

// Sent counts a request that is about to be sent to a replica.
func (l *Ledger) Sent(replica incarnation.Key) {
	if !l.Active() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.replicas[replica]; s != nil {
		s.sent++
		s.backOffSent++
	}
}
