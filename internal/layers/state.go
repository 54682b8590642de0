package layers

import "time"

const (
	// firstSuspicion is how long a replica is avoided after its first failure; each
	// failure in a row doubles it up to maxSuspicion. The first is about what a
	// restarted replica needs to come back, the bound what a long one costs at most.
	firstSuspicion = time.Second
	maxSuspicion   = 8 * time.Second
	// slowGain is the weight of a new measurement in a replica's moving average pace.
	slowGain = 0.5
	// paceTrust is how long a replica's reported pace is believed.
	paceTrust = 3 * time.Second
)

// state is what this VM knows of a replica.
type state struct {
	Replica
	kind Kind
	// reserved is the memory that this VM's requests hold here, in tokens times layers.
	reserved float64
	// capacity is the memory for requests, in tokens times layers.
	capacity float64
	// first is how many of this VM's requests enter here.
	first int

	failures     int
	suspectUntil time.Time
	// pace is what the replica's report says; above 1 it is slower than its kind.
	pace   float64
	paceAt time.Time
}

// reset takes over what discovery lists now and keeps what this VM has learned.
func (s *state) reset(spec *Spec, r Replica) {
	if s.ID != r.ID {
		s.failures, s.suspectUntil, s.pace = 0, time.Time{}, 0
	}
	s.Replica = r
	s.kind = spec.kind(r.Kind)
	s.capacity = spec.room(s.kind, r.Held.Len()) * float64(r.Held.Len())
}

func (s *state) suspect(now time.Time) {
	if now.Before(s.suspectUntil) {
		return
	}
	wait := min(maxSuspicion, firstSuspicion<<min(s.failures, 8))
	s.failures++
	s.suspectUntil = now.Add(wait)
}

func (s *state) suspected(now time.Time) bool { return now.Before(s.suspectUntil) }

// slowness is by how much the replica is slower than its kind, at least 1.
func (s *state) slowness(now time.Time) float64 {
	if s.pace <= 1 || now.Sub(s.paceAt) > paceTrust {
		return 1
	}
	return s.pace
}
