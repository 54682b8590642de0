package layers

import "time"

const (
	// firstSuspicion is how long a replica is avoided after its first failure. Each further
	// failure in a row doubles it, up to maxSuspicion. The first is about the time that a
	// restarted replica needs to be back, the limit is what a long outage costs at most.
	firstSuspicion = time.Second
	maxSuspicion   = 8 * time.Second
	// leavingSuspicion and maxLeavingSuspicion replace them for a replica that refused a
	// request although it has memory free. It is about to leave or to release the layers, and
	// refuses for seconds. Discovery cannot show that while the store is unavailable.
	leavingSuspicion    = 4 * time.Second
	maxLeavingSuspicion = 16 * time.Second
)

// suspicion records whether a replica is avoided for now.
type suspicion struct {
	failures int
	since    time.Time
	until    time.Time
	// downUntil is how long the replica is avoided because it did not answer another VM.
	// Without it each VM would try it again when its own first suspicion ends.
	downUntil time.Time
}

// avoid avoids the replica for the duration first, doubled with each failure in a row up to
// most. It has no effect while the replica is already avoided.
func (s *suspicion) avoid(now time.Time, first, most time.Duration) {
	if now.Before(s.until) {
		return
	}
	wait := min(most, first<<min(s.failures, 8))
	s.failures++
	s.since, s.until = now, now.Add(wait)
}

// suspect avoids the replica after it failed.
func (s *suspicion) suspect(now time.Time) { s.avoid(now, firstSuspicion, maxSuspicion) }

// served ends the suspicion after a request succeeded that was sent after the suspicion
// began. An older request proves nothing: a replica that is about to leave finishes its
// requests and refuses new ones.
func (s *suspicion) served(sent time.Time) {
	if sent.After(s.since) {
		s.failures, s.until = 0, time.Time{}
	}
}

// suspected reports whether the replica is avoided now.
func (s *suspicion) suspected(now time.Time) bool {
	return now.Before(s.until) || now.Before(s.downUntil)
}
