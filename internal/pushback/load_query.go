package pushback

import (
	"time"

	"geraniumcroft/internal/incarnation"
)

const (
	// loadQueryShare is the share of a replica's limit that load queries may use.
	loadQueryShare = 0.25
	// maxLoadQueryRate limits the load queries to a replica with a limit, in queries per second.
	maxLoadQueryRate = 1.0
	// loadQueryTolerance is how much earlier than due a query may be sent, because the rounds of queries
	// are not exactly periodic.
	loadQueryTolerance = 100 * time.Millisecond
)

// AllowLoadQuery reports whether a replica may be queried for its load now. If so, it records the
// query.
func (l *Ledger) AllowLoadQuery(replica incarnation.Key, now time.Time) bool {
	allowed := true
	l.withState(replica, func(s *state) { allowed = s.allowLoadQuery(now) })
	return allowed
}

// allowLoadQuery is AllowLoadQuery for the state of one replica.
func (s *state) allowLoadQuery(now time.Time) bool {
	switch {
	case s.backOffLeft(now) > 0:
		return false
	case !s.limit.Set:
		return true
	}
	perSecond := min(maxLoadQueryRate, loadQueryShare*max(minRate, s.limit.PerSecond))
	if now.Sub(s.lastLoadQuery) < time.Duration(float64(time.Second)/perSecond)-loadQueryTolerance {
		return false
	}
	s.lastLoadQuery = now
	return true
}
