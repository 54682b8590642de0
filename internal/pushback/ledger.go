package pushback

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/incarnation"
)

const (
	// stateTTL is how long the state of a replica is kept after its last signal and answer, and
	// leavingTTL that of a replica that is leaving.
	stateTTL   = 10 * time.Minute
	leavingTTL = 24 * time.Hour
)

// Ledger holds the flow control state of replicas. It is safe for concurrent use.
type Ledger struct {
	logger *zap.Logger
	// active counts the replicas with a signal in force.
	active atomic.Int32

	mu       sync.Mutex // guards the fields below
	replicas map[incarnation.Key]*state
	fleet    Fleet
	onChange func(incarnation.Key)
	// onLeaving is called with a replica that has announced that it is leaving, without mu held.
	onLeaving func(incarnation.Key)

	// quotas is quotaFor, except in tests.
	quotas func(Limit, Fleet, int) quota
}

// NewLedger returns a ledger without signals.
func NewLedger(logger *zap.Logger) *Ledger {
	return &Ledger{logger: logger, replicas: map[incarnation.Key]*state{}, onChange: func(incarnation.Key) {}, onLeaving: func(incarnation.Key) {}, quotas: quotaFor}
}

// OnChange sets the function that is called when an answer to this VM notably changes the limit of a
// replica or announces that the replica is leaving. Notices of other VMs do not cause a call. The function
// is called with the ledger's lock held and must not block or call methods of the ledger.
func (l *Ledger) OnChange(f func(incarnation.Key)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onChange = f
}

// Observe records the signal of an answer.
func (l *Ledger) Observe(from Origin, signal Signal, now time.Time) {
	if l.observe(from, signal, now) {
		l.onLeaving(from.Replica)
	}
}

// observe records the signal of an answer and reports whether the replica announces for the first time
// that it is leaving.
func (l *Ledger) observe(from Origin, signal Signal, now time.Time) (startsLeaving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.replicas[from.Replica]
	if s == nil {
		if signal == (Signal{}) {
			return false
		}
		s = l.add(from.Replica, from.DataCentre, now)
	}
	s.lastAnswer = now
	if signal.ParseErr != nil {
		l.parseFailure(from.Replica, s, signal.ParseErr)
	}
	if signal.BackOff > 0 {
		l.setBackOff(from.Replica, s, signal.BackOff, now)
	} else {
		l.endBackOff(from, s)
	}
	startsLeaving = signal.Leaving && l.startsLeaving(from.Replica, s, "replica")
	// An answer without a limit does not end one that became known after its request was sent: the
	// answer may be older than the limit.
	limitKnown := !signal.LimitInvalid && (signal.Limit.Set || !from.Sent.Before(s.limitSince))
	changed := startsLeaving
	if limitKnown {
		s.limitAt = now
		changed = l.setLimit(from.Replica, s, signal.Limit, now, "replica") || startsLeaving
	}
	if changed {
		l.onChange(from.Replica)
	}
	return startsLeaving
}

// Rename moves the state of an incarnation whose start has become known. What is known of it under the new
// key already stays in force.
func (l *Ledger) Rename(before, now incarnation.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.replicas[before]
	if s == nil {
		return
	}
	delete(l.replicas, before)
	if known := l.replicas[now]; known == nil {
		l.replicas[now] = s
	} else {
		known.leaving = known.leaving || s.leaving
	}
	l.updateActive()
}

// add adds the state of a replica and removes expired states. The caller must hold l.mu.
func (l *Ledger) add(replica incarnation.Key, dataCentre string, now time.Time) *state {
	for key, s := range l.replicas {
		if s.expired(now) {
			delete(l.replicas, key)
		}
	}
	s := &state{dataCentre: dataCentre, lastAnswer: now}
	l.replicas[replica] = s
	l.updateActive()
	return s
}

// updateActive counts the replicas with a signal in force. A back-off that has passed counts until it is
// forgotten. The caller must hold l.mu.
func (l *Ledger) updateActive() {
	active := 0
	for _, s := range l.replicas {
		if s.limit.Set || s.leaving || !s.backOffUntil.IsZero() {
			active++
		}
	}
	l.active.Store(int32(active))
}

// parseFailure logs a parse error, unless the last one of the replica had the same text. The caller must
// hold l.mu.
func (l *Ledger) parseFailure(replica incarnation.Key, s *state, err error) {
	if text := err.Error(); text != s.parseFailure {
		s.parseFailure = text
		l.logger.Warn("failed to parse pushback of a replica, previous values stay in force",
			zap.Stringer("replica", replica), zap.Error(err))
	}
}

// withState calls f with the state of a replica while the lock is held. It does nothing if the replica
// has no state, or if no replica has a signal in force.
func (l *Ledger) withState(replica incarnation.Key, f func(*state)) {
	if !l.Active() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.replicas[replica]; s != nil {
		f(s)
	}
}

// Sent counts a request that is about to be sent to a replica.
func (l *Ledger) Sent(replica incarnation.Key) {
	l.withState(replica, func(s *state) {
		s.sent++
		s.backOffSent++
	})
}
