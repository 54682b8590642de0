package pushback

import (
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/incarnation"
)

// setBackOff records that a replica wants no requests from this VM for the given time. It never shortens
// a back-off. The caller must hold l.mu.
func (l *Ledger) setBackOff(key incarnation.Key, s *state, wanted time.Duration, now time.Time) {
	left := s.backOffLeft(now)
	if left >= wanted {
		return
	}
	if left <= 0 {
		s.backOffSince, s.backOffSent = now, 0
	}
	s.backOffUntil = now.Add(wanted)
	l.updateActive()
	l.logger.Info("replica asks to back off", zap.Stringer("replica", key), zap.Duration("wanted", wanted), zap.Duration("left", left),
		zap.Duration("since", now.Sub(s.backOffSince)), zap.Uint64("sent", s.backOffSent))
}

// endBackOff forgets a back-off that has passed, once the replica has answered a request that was sent
// after its end. The caller must hold l.mu.
func (l *Ledger) endBackOff(from Origin, s *state) {
	if s.backOffUntil.IsZero() || from.Sent.Before(s.backOffUntil) {
		return
	}
	l.logger.Info("replica takes requests again after it asked to back off", zap.Stringer("replica", from.Replica),
		zap.Duration("wanted", s.backOffUntil.Sub(s.backOffSince)), zap.Uint64("sent", s.backOffSent))
	s.backOffUntil = time.Time{}
	l.updateActive()
}
