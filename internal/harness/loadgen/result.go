package loadgen

import "time"

// Ending is the result of a request as its caller sees it.
type Ending string

// The endings. The first three are the outcomes that a router reports.
const (
	EndComplete Ending = "complete"
	EndNotRun   Ending = "not-run"
	EndUnknown  Ending = "unknown"
	// EndNoAnswer means that the caller received no outcome, because the connection
	// failed or the timeout expired.
	EndNoAnswer Ending = "no-answer"
)

// result is the record of one request.
type result struct {
	arrival Arrival
	ending  Ending
	// reason is the reason that the router gave. For EndNoAnswer it is that of
	// errorReason.
	reason string
	// late is the delay from the intended to the actual send time.
	late time.Duration
	// first is the time from the intended send time to the first token, 0 without
	// tokens. whole is the time from the intended send time to the outcome, or to the
	// failure of the request.
	first time.Duration
	whole time.Duration
	// between are the times between successive tokens.
	between []time.Duration
	tokens  int
	faults  []Fault
}

// Fault is a failed check: a router did something that it must never do.
type Fault struct {
	Check  Check  `json:"check"`
	Detail string `json:"detail"`
}

// Check is the name of a check that every response must pass.
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
