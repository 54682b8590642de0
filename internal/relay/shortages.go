package relay

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// calmAfter is how long nothing must have been refused for a shortage to be over: at 5
	// requests a second to a small VM, a second without a refusal is no chance.
	calmAfter = time.Second
	// longestReturn bounds what callers are told to wait. They pass over more than a third
	// of the time that they have left, 6.6 s of 20 s.
	longestReturn = 6 * time.Second
	// returnSpread is by how much the time may be longer or shorter, so that those who were
	// refused in the same moment do not come back in one.
	returnSpread = 0.25
)

// What may be lacking; of a service its name follows.
const (
	lackOfConfig      = "configuration"
	lackOfConnections = "connections"
	lackOfPath        = "path of "
	lackOfRoom        = "room of "
)

// shortages tell refused callers when to come back. A caller comes back once, so what
// counts is that the shortage is over by then. How long it will last nobody knows; of one
// that has lasted for a while, as long again is the best guess.
type shortages struct {
	mu    sync.Mutex // guards the field below
	spans map[string]shortage
}

// shortage is one span of refusals.
type shortage struct {
	since time.Time
	last  time.Time
}

func newShortages() *shortages { return &shortages{spans: map[string]shortage{}} }

// retryAfter notes a refusal for the lack of something and returns when to come back, not
// before the least time.
func (s *shortages) retryAfter(lacking string, least time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	span := s.spans[lacking]
	if now.Sub(span.last) > calmAfter {
		span.since = now
	}
	span.last = now
	s.spans[lacking] = span
	return asLongAgain(now.Sub(span.since), least)
}

// asLongAgain is when to come back from a lack that has lasted for a time, not before the
// least time.
func asLongAgain(lasted, least time.Duration) time.Duration {
	wait := min(longestReturn, max(least, lasted))
	spread := 1 + returnSpread*(2*rand.Float64()-1)
	return time.Duration(spread * float64(wait))
}
