package invariant

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// maxRecent is the number of violations that are kept for the dump.
const maxRecent = 64

// Registry collects violations. It is safe for concurrent use. A nil *Registry panics
// on a violation, so a test that passes nil fails on any violation.
type Registry struct {
	handler func(Violation)
	total   atomic.Uint64

	mu     sync.Mutex // guards the fields below
	counts map[Name]uint64
	recent []Violation
}

// NewRegistry returns a registry that calls handler on each violation, unless handler
// is nil.
func NewRegistry(handler func(Violation)) *Registry {
	return &Registry{handler: handler, counts: map[Name]uint64{}}
}

// Strict returns a registry that panics on a violation, for tests.
func Strict() *Registry {
	return NewRegistry(func(v Violation) {
		panic(fmt.Sprintf("invariant %s violated: %s", v.Name, v.Detail))
	})
}

// Check records a violation if ok is false, and returns ok. The detail is formatted
// only for a violation.
func (r *Registry) Check(ok bool, name Name, format string, args ...any) bool {
	if !ok {
		r.record(Violation{Name: name, Time: time.Now(), Detail: fmt.Sprintf(format, args...)})
	}
	return ok
}

func (r *Registry) record(v Violation) {
	if r == nil {
		panic(fmt.Sprintf("invariant %s violated: %s", v.Name, v.Detail))
	}
	r.total.Add(1)
	r.store(v)
	if r.handler != nil {
		r.handler(v)
	}
}

func (r *Registry) store(v Violation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[v.Name]++
	if len(r.recent) == maxRecent {
		r.recent = r.recent[1:]
	}
	r.recent = append(r.recent, v)
}

// Total returns the number of violations recorded.
func (r *Registry) Total() uint64 { return r.total.Load() }

// Report returns the number of violations of each invariant, including those with
// none, and the most recent violations.
func (r *Registry) Report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := Report{Counts: map[Name]uint64{}, Recent: append([]Violation(nil), r.recent...)}
	for _, name := range All {
		report.Counts[name] = r.counts[name]
	}
	return report
}
