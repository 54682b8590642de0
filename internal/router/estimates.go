package router

import (
	"sync"
	"time"
)

const (
	estimateGain = 0.1
	maxEstimates = 4096
)

// estimates keeps a moving average of the time that each profile's requests take
// once they run, so that admission can refuse what cannot meet its deadline, and the
// paces of engines.
type estimates struct {
	mu   sync.Mutex // guards the field below
	took map[string]time.Duration

	// paces has a lock of its own.
	paces *paces
}

func newEstimates() *estimates {
	return &estimates{took: map[string]time.Duration{}, paces: newPaces()}
}

func (e *estimates) of(profile string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.took[profile]
}

func (e *estimates) learn(profile string, took time.Duration) {
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
