package stall

import "sync"

const (
	// questionsPerSend is how many questions each send allows; each costs as much as the send's own
	// connection.
	questionsPerSend = 0.25
	// maxQuestions is how many may be saved up, some paths of usual length.
	maxQuestions = 64.0
)

// ProbeBudget bounds the questions to stages by the sends of this VM, so that paths which stand
// still again and again cost no more than the requests on them. It is safe for concurrent use.
type ProbeBudget struct {
	mu   sync.Mutex // guards the field below
	left float64
}

// NewProbeBudget returns a full budget.
func NewProbeBudget() *ProbeBudget { return &ProbeBudget{left: maxQuestions} }

// Sent notes that a request was sent.
func (b *ProbeBudget) Sent() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(maxQuestions, b.left+questionsPerSend)
}

// Take takes one question out of the budget, if there is one.
func (b *ProbeBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// Left reports whether a question is left.
func (b *ProbeBudget) Left() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left >= 1
}
