package servicesim

import "geraniumcroft/internal/config"

// Faults are the faults injected into a Service. Each call decrements the fields
// that are counters by at most one.
type Faults struct {
	// DieBefore and DieAfter make the service die after it has read the next call,
	// before or after executing it.
	DieBefore bool `json:"dieBefore"`
	DieAfter  bool `json:"dieAfter"`
	// LoseResponses is the number of calls that are executed and then have their
	// connection reset.
	LoseResponses int `json:"loseResponses"`
	// TruncateResponses is the number of calls that are executed and of whose
	// response only the first half is sent.
	TruncateResponses int `json:"truncateResponses"`
	// DeclareNotRun is the number of calls that are not executed and answered as
	// not run.
	DeclareNotRun int `json:"declareNotRun"`
	// Fail is the number of calls that are executed and answered with status 500.
	Fail int `json:"fail"`
	// WrongIDs is the number of responses that carry another request's id.
	WrongIDs int `json:"wrongIDs"`
	// SilenceOnCall is the number of calls that are executed and whose connection
	// then goes silent: it stays open but carries no more data.
	SilenceOnCall int `json:"silenceOnCall"`
	// Slowdown multiplies the service time; 0 counts as 1.
	Slowdown float64 `json:"slowdown"`
	// LoadLag delays load reports.
	LoadLag config.Duration `json:"loadLag"`
	// Leaving makes the service answer all calls as not run and announce in its load
	// reports that it is leaving.
	Leaving bool `json:"leaving"`
}

// take decrements a counter that is above 0 and reports whether it did.
func take(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}
