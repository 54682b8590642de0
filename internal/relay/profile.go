package relay

import "time"

// Profile defines how the requests of one host and path prefix are served.
type Profile struct {
	Name string
	Host string
	// Prefix is the start of the paths of the profile's requests. It ends with a slash.
	Prefix string
	// Idempotent is set if requests may run more than once.
	Idempotent bool
	// Resumable is set if generations may continue on another replica after the last event.
	Resumable bool
	// Public is set if requests need no API key.
	Public bool
	// Timeout bounds the duration of a request from its arrival.
	Timeout time.Duration
	// Objective is the time to the response, or to the first event, that callers expect.
	Objective time.Duration
	// Gap is the longest pause between two events of a generation that callers expect, 0 if the
	// operator sets none.
	Gap time.Duration
	// MaxAttempts is how many replicas one request may run on.
	MaxAttempts int
	// Priority ranks requests; 0 is the highest.
	Priority int
	// Backends are the services that requests are sent to. Config.Services states which of them
	// serve a model along a path.
	Backends []Backend
}

// Backend is a service that receives a profile's requests in proportion to its weight.
type Backend struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request may run more than once.
func (p *Profile) Repeatable() bool { return p.Idempotent || p.Resumable }

// service returns the backend's service for a request, "" if there is none. The choice depends on
// the request's hash alone, so that a second send goes to the same service.
func (p *Profile) service(hash uint64) string {
	total := 0
	for _, b := range p.Backends {
		total += max(0, b.Weight)
	}
	if total == 0 {
		return ""
	}
	at := int(hash % uint64(total))
	for _, b := range p.Backends {
		if at < b.Weight {
			return b.Service
		}
		at -= max(0, b.Weight)
	}
	return ""
}
