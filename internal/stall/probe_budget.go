package stall

import "sync"

const (
	// probesPerSend is how many probes each sent request allows. A probe costs as much as the
	// connection that the request is sent on.
	probesPerSend = 0.25
	// maxProbes is how many probes may be saved up, enough for a few paths of usual length.
	maxProbes = 64.0
)

// ProbeBudget limits probes to a share of the requests that this VM sends, so that paths which stall
// repeatedly cost no more than the requests on them. It is safe for concurrent use.
type ProbeBudget struct {
	mu     sync.Mutex // guards the field below
	tokens float64
}

// NewProbeBudget returns a full budget.
func NewProbeBudget() *ProbeBudget { return &ProbeBudget{tokens: maxProbes} }

// Sent records that a request was sent.
func (b *ProbeBudget) Sent() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxProbes, b.tokens+probesPerSend)
}

// Take reports whether a probe is allowed, and if so takes it out of the budget.
func (b *ProbeBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Left reports whether a probe is allowed, without taking it.
func (b *ProbeBudget) Left() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens >= 1
}
