package relay

import "time"

// Profile says how the requests of one host and path prefix are served.
type Profile struct {
	Name string
	Host string
	// Prefix begins the paths of the profile's requests; it ends with a slash.
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Resumable generations may go on at another replica behind the last event.
	Resumable bool
	// Public requests need no key.
	Public bool
	// Timeout bounds a request from its arrival.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event, that callers expect.
	Objective time.Duration
	// Gap is the longest pause between two events of a generation that callers expect, 0 if
	// the operator does not say.
	Gap time.Duration
	// MaxAttempts is how many replicas one request may run on.
	MaxAttempts int
	// Priority ranks requests; 0 goes first.
	Priority int
	// Backends are where requests go; which of them serve a model along a path is in
	// Config.Services.
	Backends []Backend
}

// Backend is one service that a profile's requests go to, by weight.
type Backend struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request may run more than once.
func (p *Profile) Repeatable() bool { return p.Idempotent || p.Resumable }

// service chooses the backend of a request. The choice depends on the request alone,
// so a second send goes to the same service.
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
