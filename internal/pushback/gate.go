package pushback

import (
	"time"

	"golang.org/x/time/rate"

	"geraniumcroft/internal/incarnation"
)

// probeInterval is the time after which another request is sent to a replica that has not answered the
// first request after a back-off.
const probeInterval = 250 * time.Millisecond

// Active reports whether any replica has a signal in force. A back-off counts until the replica answers
// a request that was sent after it.
func (l *Ledger) Active() bool { return l.active.Load() > 0 }

// Open reports whether a request may be sent to a replica now, and if not, the earliest time at which it
// may be; zero means that only other VMs may send to it. Open uses up no quota, so that a following call
// of Take decides.
func (l *Ledger) Open(replica incarnation.Key, now time.Time) (open bool, at time.Time) {
	open = true
	l.withState(replica, func(s *state) { open, at = s.openAt(now) })
	return open, at
}

// Take uses up one request of the quota for a replica and reports whether the request may be sent.
func (l *Ledger) Take(replica incarnation.Key, now time.Time) bool {
	taken := true
	l.withState(replica, func(s *state) { taken = s.take(now) })
	return taken
}

// CheckSend returns an error if a request for which Take has succeeded must not be sent any more, because
// the replica has asked to back off or announced that it is leaving since then, and nil otherwise.
func (l *Ledger) CheckSend(replica incarnation.Key, now time.Time) *ThrottledError {
	var throttled *ThrottledError
	l.withState(replica, func(s *state) {
		switch {
		case s.leaving:
			throttled = &ThrottledError{}
		case s.backOffLeft(now) > 0:
			throttled = &ThrottledError{Until: s.backOffUntil}
		}
	})
	return throttled
}

// openAt is Open for the state of one replica.
func (s *state) openAt(now time.Time) (open bool, at time.Time) {
	if at = s.blockedUntil(); at.After(now) {
		return false, at
	}
	switch {
	case !s.limit.Set:
		return true, now
	case !s.quota.sender:
		return !now.Before(s.nextTrial()), time.Time{}
	}
	at = now.Add(tokenDelay(s.bucket, now))
	return !at.After(now), at
}

// take is Take for the state of one replica.
func (s *state) take(now time.Time) bool {
	if s.blockedUntil().After(now) || !s.takeQuota(now) {
		return false
	}
	s.lastSent = now
	return true
}

// takeQuota uses up one request of this VM's quota. A VM that is no sender may make a trial instead.
func (s *state) takeQuota(now time.Time) bool {
	switch {
	case !s.limit.Set:
		return true
	case !s.quota.sender && now.Before(s.nextTrial()):
		return false
	case !s.quota.sender:
		s.lastTrial = now
		return true
	}
	return s.bucket.AllowN(now, 1)
}

// blockedUntil returns the time before which no request may be sent because of a back-off. After the
// back-off, one request per probeInterval is allowed until the replica has answered one. Otherwise all
// requests that waited for the end of the back-off would reach the replica at the same time.
func (s *state) blockedUntil() time.Time {
	if s.backOffUntil.IsZero() || s.lastSent.Before(s.backOffUntil) {
		return s.backOffUntil
	}
	return s.lastSent.Add(probeInterval)
}

// nextTrial returns the time from which a VM that is no sender may send one request.
func (s *state) nextTrial() time.Time {
	last := s.limitAt
	if s.lastTrial.After(last) {
		last = s.lastTrial
	}
	return last.Add(s.quota.trialDelay)
}

// setQuota applies a new quota. A new token bucket starts empty, because the quota of this VM was taken
// from other VMs, which may just have used it.
func (s *state) setQuota(q quota, now time.Time) {
	s.quota = q
	if !q.sender {
		s.bucket = nil
		return
	}
	if s.bucket == nil {
		s.bucket = rate.NewLimiter(rate.Limit(q.rate), q.burst)
		s.bucket.AllowN(now, q.burst)
		return
	}
	s.bucket.SetLimitAt(now, rate.Limit(q.rate))
	s.bucket.SetBurstAt(now, q.burst)
}

// tokenDelay returns the time until the bucket holds a token, 0 if it holds one.
func tokenDelay(bucket *rate.Limiter, now time.Time) time.Duration {
	missing := 1 - bucket.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / float64(bucket.Limit()) * float64(time.Second))
}
