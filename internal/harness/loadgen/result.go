package loadgen

import "time"

// Ending is how a request ended, as its caller saw it.
type Ending string

// The endings. The first three are the outcomes that a router can tell.
const (
	EndComplete Ending = "complete"
	EndNotRun   Ending = "not-run"
	EndUnknown  Ending = "unknown"
	// EndNoAnswer: the connection failed or the timeout passed before an outcome.
	EndNoAnswer Ending = "no-answer"
)

// result is what came of one request.
type result struct {
	arrival Arrival
	ending  Ending
	// reason is the router's, or the error's text for EndNoAnswer.
	reason string
	// late is how long after the intended time the tool sent the request.
	late time.Duration
	// first and whole count from the intended time; first is 0 without a token.
	first   time.Duration
	whole   time.Duration
	between []time.Duration
	tokens  int
	faults  []Fault
}

// Fault is one thing that a router must never do.
type Fault struct {
	Check  Check  `json:"check"`
	Detail string `json:"detail"`
}

// Check names what is checked of each answer.
type Check string

// The checks.
const (
	CheckOneOutcome  Check = "exactly-one-outcome"
	CheckTokens      Check = "no-token-gap-or-repeat"
	CheckTokenCount  Check = "token-count-is-true"
	CheckOwnAnswer   Check = "answer-to-own-request"
	CheckProblemBody Check = "refusal-has-a-problem-body"
	CheckEndOfStream Check = "stream-ends-with-done"
	CheckParses      Check = "answer-can-be-parsed"
)
