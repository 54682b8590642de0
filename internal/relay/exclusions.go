package relay

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/sleep"
)

const (
	// firstExclusionPause is the mean time before excluded replicas are tried again because no path exists
	// without them. It doubles each time, up to maxExclusionPause.
	firstExclusionPause = 100 * time.Millisecond
	maxExclusionPause   = time.Second
	// exclusionPollInterval is the time between two searches for a path without them.
	exclusionPollInterval = 20 * time.Millisecond
)

// exclusions holds the replicas that the next path of a generation must not contain. The stall watch reads
// it while the send that ends adds to it. It is safe for concurrent use.
type exclusions struct {
	mu       sync.Mutex // guards the fields below
	replicas map[incarnation.Key]bool
	// pauses counts how often the replicas were tried again.
	pauses int
}

// add excludes a replica.
func (e *exclusions) add(replica incarnation.Key) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.replicas == nil {
		e.replicas = map[incarnation.Key]bool{}
	}
	e.replicas[replica] = true
}

// snapshot returns a copy that the caller may keep and change.
func (e *exclusions) snapshot() map[incarnation.Key]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.replicas == nil {
		return map[incarnation.Key]bool{}
	}
	return maps.Clone(e.replicas)
}

// waitForPath waits while hasPath reports that no path exists without the excluded replicas, and lifts the
// exclusions after a pause. It returns false if none is excluded, or at the end of ctx.
func (e *exclusions) waitForPath(ctx context.Context, hasPath func() bool) bool {
	pause, ok := e.beginPause()
	if !ok {
		return false
	}
	for until := time.Now().Add(pause); !hasPath(); {
		left := time.Until(until)
		if left <= 0 {
			e.lift()
			break
		}
		if !sleep.For(ctx, min(left, exclusionPollInterval)) {
			return false
		}
	}
	return ctx.Err() == nil
}

// beginPause returns the time until the replicas are tried again, false if none is excluded.
func (e *exclusions) beginPause() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.replicas) == 0 {
		return 0, false
	}
	mean := min(maxExclusionPause, firstExclusionPause<<min(e.pauses, 10))
	e.pauses++
	return mean/2 + rand.N(mean), true
}

func (e *exclusions) lift() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.replicas = nil
}
