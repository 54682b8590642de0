package overload

import (
	"sync"
	"time"
)

const (
	// floorSpans is the number of spans into which the window of Floors is divided.
	floorSpans = 10
	// minFloorArrivals is the least number of requests of a profile in the window from which its
	// served part is known well enough.
	minFloorArrivals = 4
)

// Floors counts how often the requests of each profile are served, and finds the profiles that are
// served much less often than others. It is safe for concurrent use.
type Floors struct {
	minServed float64
	window    time.Duration

	mu       sync.Mutex // guards the field below
	profiles map[string]*floor
}

// floor holds the counts of one profile, by span of the window.
type floor struct {
	arrived, served [floorSpans]int
	// span is the number of the newest span.
	span int64
}

// NewFloors returns a Floors that counts over a window. A profile is starved if its served part is
// below minServed times that of the profile with the highest one; 0 means never.
func NewFloors(minServed float64, window time.Duration) *Floors {
	return &Floors{minServed: minServed, window: window, profiles: map[string]*floor{}}
}

// Arrived counts a request of the profile.
func (f *Floors) Arrived(profile string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.at(profile, now)
	p.arrived[p.span%floorSpans]++
}

// Served counts a request of the profile that has been started.
func (f *Floors) Served(profile string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.at(profile, now)
	p.served[p.span%floorSpans]++
}

// Starved reports whether the requests of the profile are served much less often than those of
// another one.
func (f *Floors) Starved(profile string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.profiles[profile] == nil {
		return false
	}
	own, known := f.at(profile, now).servedPart()
	if !known {
		return false
	}
	best := 0.0
	for name := range f.profiles {
		if part, known := f.at(name, now).servedPart(); known {
			best = max(best, part)
		}
	}
	return own < f.minServed*best
}

// at returns the counts of a profile, without those that have left the window. f.mu is held.
func (f *Floors) at(profile string, now time.Time) *floor {
	p := f.profiles[profile]
	if p == nil {
		p = &floor{}
		f.profiles[profile] = p
	}
	span := now.UnixNano() / max(1, int64(f.window)/floorSpans)
	for next := max(p.span+1, span-floorSpans+1); next <= span; next++ {
		p.arrived[next%floorSpans], p.served[next%floorSpans] = 0, 0
	}
	p.span = max(p.span, span)
	return p
}

// servedPart returns the fraction of the requests that were started. The second result is false if
// there are too few requests.
func (p *floor) servedPart() (part float64, known bool) {
	arrived, served := 0, 0
	for i := range floorSpans {
		arrived += p.arrived[i]
		served += p.served[i]
	}
	return float64(served) / float64(max(1, arrived)), arrived >= minFloorArrivals
}
