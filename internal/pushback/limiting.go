package pushback

import (
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/incarnation"
)

// SetFleet tells which VMs share the replicas.
func (l *Ledger) SetFleet(fleet Fleet, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet = fleet
	for key, s := range l.replicas {
		if s.limit.Set {
			l.divide(key, s, now)
		}
	}
}

// divide works out this VM's part of a replica's limit. l.mu is held.
func (l *Ledger) divide(key incarnation.Key, s *state, now time.Time) {
	s.share(l.parts(s.limit, l.fleet, l.fleet.rank(key, s.dataCentre)), now)
}

// limited takes a limit, or that there is none, and reports whether it is notably another one than was
// told before. l.mu is held.
func (l *Ledger) limited(key incarnation.Key, s *state, limit Limit, now time.Time, by string) bool {
	if limit == s.limit {
		return false
	}
	if limit.Set && !s.limit.Set {
		s.since, s.sent = now, 0
	}
	s.limit, s.part, s.tried = limit, part{}, time.Time{}
	if limit.Set {
		l.divide(key, s, now)
	} else {
		s.bucket = nil
	}
	l.count()
	if !limit.notablyOther(s.noted) {
		return false
	}
	l.logger.Info("rate limit of a replica", zap.Stringer("replica", key), zap.String("by", by),
		zap.Bool("limited", limit.Set), zap.Float64("perSecond", limit.PerSecond),
		zap.Bool("limitedBefore", s.noted.Set), zap.Float64("perSecondBefore", s.noted.PerSecond),
		zap.Duration("since", now.Sub(s.since)), zap.Uint64("sent", s.sent), zap.Int("vms", len(l.fleet.VMs)),
		zap.Bool("sender", s.part.sender), zap.Float64("ownPerSecond", s.part.rate))
	s.noted = limit
	return true
}
