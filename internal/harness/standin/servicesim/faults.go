package servicesim

import "geraniumcroft/internal/config"

// Faults are the faults of a Service. Those that count are spent one a call.
type Faults struct {
	// DieBefore and DieAfter make the service die when it has read the next call,
	// before or after it has executed it.
	DieBefore bool `json:"dieBefore"`
	DieAfter  bool `json:"dieAfter"`
	// LoseResponses is the number of calls that are executed and whose connection
	// is then reset.
	LoseResponses int `json:"loseResponses"`
	// TruncateResponses is the number of calls whose response is cut in its middle.
	TruncateResponses int `json:"truncateResponses"`
	// DeclareNotRun is the number of calls that are declared as not run.
	DeclareNotRun int `json:"declareNotRun"`
	// Fail is the number of calls that are executed and answered with status 500.
	Fail int `json:"fail"`
	// WrongIDs is the number of answers that carry another request's id.
	WrongIDs int `json:"wrongIDs"`
	// SilenceOnCall makes the connection of each of the next calls go silent after
	// the call was executed.
	SilenceOnCall int `json:"silenceOnCall"`
	// Slowdown multiplies the service time; 0 is 1.
	Slowdown float64 `json:"slowdown"`
	// LoadLag delays load reports.
	LoadLag config.Duration `json:"loadLag"`
	// Leaving makes the service declare calls as not run and report that it leaves.
	Leaving bool `json:"leaving"`
}

// spend takes one off a counter and reports whether there was one.
func spend(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}
