package pushback

import (
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/incarnation"
)

// SetFleet sets the VMs that share the replicas, and updates the quotas of this VM.
func (l *Ledger) SetFleet(fleet Fleet, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet = fleet
	for key, s := range l.replicas {
		if s.limit.Set {
			l.updateQuota(key, s, now)
		}
	}
}

// updateQuota computes this VM's quota of a replica's limit. The caller must hold l.mu.
func (l *Ledger) updateQuota(key incarnation.Key, s *state, now time.Time) {
	s.setQuota(l.quotas(s.limit, l.fleet, l.fleet.rank(key, s.dataCentre)), now)
}

// setLimit sets the limit of a replica, which may be none, and reports whether it differs notably from
// the last one that was announced to other VMs. The caller must hold l.mu.
func (l *Ledger) setLimit(key incarnation.Key, s *state, limit Limit, now time.Time, by string) bool {
	if limit == s.limit {
		return false
	}
	if limit.Set && !s.limit.Set {
		s.limitSince, s.sent = now, 0
	}
	s.limit, s.quota, s.lastTrial = limit, quota{}, time.Time{}
	if limit.Set {
		l.updateQuota(key, s, now)
	} else {
		s.bucket = nil
	}
	l.updateActive()
	if !limit.differsNotably(s.announced) {
		return false
	}
	l.logger.Info("rate limit of a replica", zap.Stringer("replica", key), zap.String("by", by),
		zap.Bool("limited", limit.Set), zap.Float64("perSecond", limit.PerSecond),
		zap.Bool("limitedBefore", s.announced.Set), zap.Float64("perSecondBefore", s.announced.PerSecond),
		zap.Duration("since", now.Sub(s.limitSince)), zap.Uint64("sent", s.sent), zap.Int("vms", len(l.fleet.VMs)),
		zap.Bool("sender", s.quota.sender), zap.Float64("ownPerSecond", s.quota.rate))
	s.announced = limit
	return true
}
