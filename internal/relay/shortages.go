package relay

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// shortageQuietPeriod is how long nothing must have been refused for a shortage to be over. At
	// 5 requests per second to a small VM, a second without a refusal is unlikely to be chance.
	shortageQuietPeriod = time.Second
	// maxRetryAfter bounds the time that callers are told to wait, and maxRetryAfterJitter the jitter.
	// They do not retry after more than a third of the time they have left, 6.6 s of 20 s.
	maxRetryAfter       = 6 * time.Second
	maxRetryAfterJitter = 600 * time.Millisecond
	// retryAfterJitter is the largest fraction by which that time is prolonged, so that callers refused
	// together do not retry together. A shorter time would bring them back before there is room.
	retryAfterJitter = 0.25
)

// The resources that may be short. The name of the service follows where there is one.
const (
	configShortage     = "configuration"
	connectionShortage = "connections"
	processorShortage  = "processor"
	bodyShortage       = "memory for bodies"
	pathShortage       = "path of "
	capacityShortage   = "capacity of "
)

// capacityShortage returns the resource that is short if no replica of the request's service has
// capacity. Capacity that is short for one rank may not be for another one.
func (q *request) capacityShortage() string {
	if q.class.Competing() {
		return fmt.Sprintf("%s%s, rank %d", capacityShortage, q.service, q.class.Rank)
	}
	return capacityShortage + q.service
}

// shortages determines when refused callers should retry. A caller retries once, so the shortage
// should be over by then. How long it will last is unknown; for one that has lasted for some time,
// as long again is the best estimate.
type shortages struct {
	mu    sync.Mutex // guards the field below
	spans map[string]shortage
}

// shortage is one period of refusals.
type shortage struct {
	since time.Time
	last  time.Time
}

func newShortages() *shortages { return &shortages{spans: map[string]shortage{}} }

// retryAfter records a refusal for lack of a resource and returns when to retry, at least minWait.
func (s *shortages) retryAfter(resource string, minWait time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	span := s.spans[resource]
	if now.Sub(span.last) > shortageQuietPeriod {
		span.since = now
	}
	span.last = now
	s.spans[resource] = span
	return retryAfterFor(now.Sub(span.since), minWait)
}

// retryAfterFor returns when to retry after a shortage that has lasted for the elapsed time. The
// result is at least minWait or maxRetryAfter, and at most maxRetryAfter and the jitter.
func retryAfterFor(elapsed, minWait time.Duration) time.Duration {
	wait := min(maxRetryAfter, max(minWait, elapsed))
	jitter := min(maxRetryAfterJitter, time.Duration(retryAfterJitter*float64(wait)))
	return wait + time.Duration(rand.Float64()*float64(jitter))
}
