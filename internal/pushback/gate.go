package pushback

import (
	"time"

	"golang.org/x/time/rate"

	"geraniumcroft/internal/incarnation"
)

// probeAgain is after how long a replica that has not answered the first request after it asked to back
// off is sent another one.
const probeAgain = 250 * time.Millisecond

// Active reports whether any replica has something in force.
func (l *Ledger) Active() bool { return l.active.Load() > 0 }

// Open reports whether a replica may be sent a request now, and else when it may be at the earliest,
// zero if only other VMs may send to it. It takes nothing; Take decides.
func (l *Ledger) Open(replica incarnation.Key, now time.Time) (open bool, at time.Time) {
	open = true
	l.of(replica, func(s *state) { open, at = s.opens(now) })
	return open, at
}

// Take uses up one request that the replica takes, and reports whether it may be sent.
func (l *Ledger) Take(replica incarnation.Key, now time.Time) bool {
	taken := true
	l.of(replica, func(s *state) { taken = s.take(now) })
	return taken
}

// CheckSend returns the error with which a request is not sent that was already meant for a replica, as it
// has asked to back off or said that it leaves meanwhile; nil if it has not.
func (l *Ledger) CheckSend(replica incarnation.Key, now time.Time) *ThrottledError {
	var held *ThrottledError
	l.of(replica, func(s *state) {
		switch {
		case s.leaving:
			held = &ThrottledError{}
		case s.backOffLeft(now) > 0:
			held = &ThrottledError{Until: s.backOffUntil}
		}
	})
	return held
}

// opens is Open of one replica.
func (s *state) opens(now time.Time) (open bool, at time.Time) {
	if at = s.backedOffUntil(); at.After(now) {
		return false, at
	}
	switch {
	case !s.limit.Set:
		return true, now
	case !s.part.sender:
		return !now.Before(s.trialAt()), time.Time{}
	}
	at = now.Add(untilToken(s.bucket, now))
	return !at.After(now), at
}

// take uses up one request of this VM's part.
func (s *state) take(now time.Time) bool {
	if s.backedOffUntil().After(now) || !s.takePart(now) {
		return false
	}
	s.probed = now
	return true
}

// takePart uses up one request of this VM's part of the limit.
func (s *state) takePart(now time.Time) bool {
	switch {
	case !s.limit.Set:
		return true
	case !s.part.sender && now.Before(s.trialAt()):
		return false
	case !s.part.sender:
		s.tried = now
		return true
	}
	return s.bucket.AllowN(now, 1)
}

// backedOffUntil is until when the replica is left alone after it asked to back off. When that time is
// over it is sent one request until it has answered one: what has waited would reach it at one moment.
func (s *state) backedOffUntil() time.Time {
	if s.backOffUntil.IsZero() || s.probed.Before(s.backOffUntil) {
		return s.backOffUntil
	}
	return s.probed.Add(probeAgain)
}

// trialAt is when a VM that is no sender may try one request.
func (s *state) trialAt() time.Time {
	last := s.told
	if s.tried.After(last) {
		last = s.tried
	}
	return last.Add(s.part.trialAfter)
}

// share makes this VM keep to its part of the limit from now on. The bucket begins empty: a VM that
// comes to have a part takes it from others, which may just have used theirs.
func (s *state) share(p part, now time.Time) {
	s.part = p
	if !p.sender {
		s.bucket = nil
		return
	}
	if s.bucket == nil {
		s.bucket = rate.NewLimiter(rate.Limit(p.rate), p.burst)
		s.bucket.AllowN(now, p.burst)
		return
	}
	s.bucket.SetLimitAt(now, rate.Limit(p.rate))
	s.bucket.SetBurstAt(now, p.burst)
}

// untilToken is how long it takes until the bucket has a token, 0 if it has one.
func untilToken(bucket *rate.Limiter, now time.Time) time.Duration {
	missing := 1 - bucket.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / float64(bucket.Limit()) * float64(time.Second))
}
