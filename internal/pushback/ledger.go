package pushback

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/incarnation"
)

// forgetAfter is how long a replica that says nothing more is remembered.
const forgetAfter = 10 * time.Minute

// Ledger keeps what replicas have said. It is safe for concurrent use.
type Ledger struct {
	logger *zap.Logger

	mu       sync.Mutex // guards the field below
	replicas map[incarnation.Key]*state
}

// NewLedger returns a ledger of replicas that have said nothing.
func NewLedger(logger *zap.Logger) *Ledger {
	return &Ledger{logger: logger, replicas: map[incarnation.Key]*state{}}
}

// Heard takes what an answer says.
func (l *Ledger) Heard(from Origin, signal Signal, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.replicas[from.Replica]
	if s == nil {
		if signal == (Signal{}) {
			return
		}
		s = l.add(from, now)
	}
	s.heard = now
	if signal.Unreadable != nil {
		l.unreadable(from.Replica, s, signal.Unreadable)
		return
	}
	l.limited(from, s, signal.Limit, now)
}

// add begins to keep what a replica says. l.mu is held.
func (l *Ledger) add(from Origin, now time.Time) *state {
	for key, s := range l.replicas {
		if now.Sub(s.heard) > forgetAfter {
			delete(l.replicas, key)
		}
	}
	s := &state{dataCentre: from.DataCentre}
	l.replicas[from.Replica] = s
	return s
}

// limited takes the limit that an answer names, or that it names none. The answer to a request that
// was sent before the limit was heard may be older than the limit, and does not end it.
func (l *Ledger) limited(from Origin, s *state, limit Limit, now time.Time) {
	if limit == s.limit || !limit.Named && from.Sent.Before(s.since) {
		return
	}
	l.logger.Info("rate limit of a replica", zap.Stringer("replica", from.Replica), zap.Bool("limited", limit.Named),
		zap.Float64("perSecond", limit.PerSecond), zap.Bool("before", s.limit.Named), zap.Float64("perSecondBefore", s.limit.PerSecond),
		zap.Duration("lasted", lasted(s, now)), zap.Uint64("sent", s.sent))
	if !s.limit.Named {
		s.since, s.sent = now, 0
	}
	s.limit = limit
}

// lasted is for how long the replica has been limited.
func lasted(s *state, now time.Time) time.Duration {
	if !s.limit.Named {
		return 0
	}
	return now.Sub(s.since)
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
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.replicas[replica]; s != nil {
		s.sent++
	}
}
