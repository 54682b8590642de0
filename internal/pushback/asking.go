package pushback

import (
	"time"

	"geraniumcroft/internal/incarnation"
)

const (
	// askShare is the part of a replica's limit that questions for its load may take.
	askShare = 0.25
	// askMost bounds the questions to a limited replica, in questions a second.
	askMost = 1.0
	// askEarly is by how much a question may come before its time: rounds are not exactly even.
	askEarly = 100 * time.Millisecond
)

// AllowLoadQuery reports whether a replica may be asked for its load now, and notes that it is.
func (l *Ledger) AllowLoadQuery(replica incarnation.Key, now time.Time) bool {
	may := true
	l.of(replica, func(s *state) { may = s.mayAsk(now) })
	return may
}

// mayAsk is AllowLoadQuery of one replica.
func (s *state) mayAsk(now time.Time) bool {
	switch {
	case s.backOffLeft(now) > 0:
		return false
	case !s.limit.Set:
		return true
	}
	perSecond := min(askMost, askShare*max(leastRate, s.limit.PerSecond))
	if now.Sub(s.asked) < time.Duration(float64(time.Second)/perSecond)-askEarly {
		return false
	}
	s.asked = now
	return true
}
