package overload

import (
	"sync"
	"time"
)

// ServiceFloors holds the Floors of each service: only the profiles of one service compete with each
// other. It is safe for concurrent use.
type ServiceFloors struct {
	minServed float64
	window    time.Duration

	mu       sync.Mutex // guards the field below
	services map[string]*Floors
}

// NewServiceFloors returns floors with the arguments of NewFloors.
func NewServiceFloors(minServed float64, window time.Duration) *ServiceFloors {
	return &ServiceFloors{minServed: minServed, window: window, services: map[string]*Floors{}}
}

// Of returns the floors of a service.
func (f *ServiceFloors) Of(service string) *Floors {
	f.mu.Lock()
	defer f.mu.Unlock()
	floors := f.services[service]
	if floors == nil {
		floors = NewFloors(f.minServed, f.window)
		f.services[service] = floors
	}
	return floors
}
