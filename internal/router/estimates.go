package router

import (
	"sync"
	"time"
)

const (
	// estimateGain is the weight of a new duration in the moving average.
	estimateGain = 0.1
	// maxEstimates is the maximum number of profiles with an average.
	maxEstimates = 4096
)

// estimates has a moving average of the time that the requests of each profile run, so
// that admission can refuse requests that cannot meet their deadlines. It also has the
// detector of slow engines.
type estimates struct {
	mu   sync.Mutex // guards the field below
	took map[string]time.Duration

	// slowDetector has its own lock.
	slowDetector *slowDetector
}

func newEstimates() *estimates {
	return &estimates{took: map[string]time.Duration{}, slowDetector: newSlowDetector()}
}

// get returns the average of the profile, 0 if there is none yet.
func (e *estimates) get(profile string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.took[profile]
}

// recordDuration updates the average of the profile. At most maxEstimates profiles are kept.
func (e *estimates) recordDuration(profile string, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old, known := e.took[profile]
	if !known && len(e.took) >= maxEstimates {
		return
	}
	if !known {
		e.took[profile] = took
		return
	}
	e.took[profile] = old + time.Duration(estimateGain*float64(took-old))
}
