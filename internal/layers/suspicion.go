package layers

import "time"

const (
	// firstSuspicion is how long a replica is avoided after its first failure; each
	// failure in a row doubles it up to maxSuspicion. The first is about what a
	// restarted replica needs to come back, the bound what a long one costs at most.
	firstSuspicion = time.Second
	maxSuspicion   = 8 * time.Second
	// leavingSuspicion and maxLeaving take their place for a replica that turned a request
	// away though it has room: it is about to leave, or gives the layers up, and stays so
	// for seconds. While the store is away discovery does not tell of it.
	leavingSuspicion    = 4 * time.Second
	maxLeavingSuspicion = 16 * time.Second
)

// suspicion says whether a replica is avoided for now.
type suspicion struct {
	failures int
	since    time.Time
	until    time.Time
	// downUntil is for how long the replica is avoided as it did not answer another VM.
	// Without it each VM would try it again after its own first suspicion.
	downUntil time.Time
}

// avoid avoids the replica for the first time span, doubled with each failure in a row.
func (s *suspicion) avoid(now time.Time, first, most time.Duration) {
	if now.Before(s.until) {
		return
	}
	wait := min(most, first<<min(s.failures, 8))
	s.failures++
	s.since, s.until = now, now.Add(wait)
}

// suspect avoids the replica after a failure of its own.
func (s *suspicion) suspect(now time.Time) { s.avoid(now, firstSuspicion, maxSuspicion) }

// served ends the suspicion after a request went well that was sent since it began. An
// older one says nothing: a replica that is about to leave finishes what it has and
// turns away whatever is new.
func (s *suspicion) served(sent time.Time) {
	if sent.After(s.since) {
		s.failures, s.until = 0, time.Time{}
	}
}

func (s *suspicion) suspected(now time.Time) bool {
	return now.Before(s.until) || now.Before(s.downUntil)
}
