package pushback

import (
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/incarnation"
)

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
