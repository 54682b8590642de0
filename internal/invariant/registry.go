package invariant

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const keptViolations = 64

// Registry collects violations. It is safe for concurrent use; a nil *Registry
// panics on a violation, so a test that passes none is strict.
type Registry struct {
	handler func(Violation)
	total   atomic.Uint64

	mu     sync.Mutex // guards the fields below
	counts map[Name]uint64
	recent []Violation
}

// NewRegistry returns a registry that calls handler, when not nil, on each violation.
func NewRegistry(handler func(Violation)) *Registry {
	return &Registry{handler: handler, counts: map[Name]uint64{}}
}

// Strict returns a registry that panics on a violation, for tests.
func Strict() *Registry {
	return NewRegistry(func(v Violation) {
		panic(fmt.Sprintf("invariant %s violated: %s", v.Name, v.Detail))
	})
}

// Check records a violation unless ok. The detail is formatted only on failure.
func (r *Registry) Check(ok bool, name Name, format string, args ...any) bool {
	if !ok {
		r.fail(Violation{Name: name, Time: time.Now(), Detail: fmt.Sprintf(format, args...)})
	}
	return ok
}

func (r *Registry) fail(v Violation) {
	if r == nil {
		panic(fmt.Sprintf("invariant %s violated: %s", v.Name, v.Detail))
	}
	r.total.Add(1)
	r.keep(v)
	if r.handler != nil {
		r.handler(v)
	}
}

func (r *Registry) keep(v Violation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[v.Name]++
	if len(r.recent) == keptViolations {
		r.recent = r.recent[1:]
	}
	r.recent = append(r.recent, v)
}

// Total returns how many violations were recorded.
func (r *Registry) Total() uint64 { return r.total.Load() }

// Report returns the count of each invariant, zero included, and the newest violations.
func (r *Registry) Report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := Report{Counts: map[Name]uint64{}, Recent: append([]Violation(nil), r.recent...)}
	for _, name := range All {
		report.Counts[name] = r.counts[name]
	}
	return report
}
