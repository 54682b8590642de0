// Package outcome defines the three outcomes of a request, and the reasons why a
// request was not completed with their HTTP statuses.
//
// A request is Complete if the caller has the whole response, NotRun if it did not
// run and will not, and Unknown if it may have run. The difference matters to a
// caller that must not run a request twice: a retry after NotRun is safe, a retry
// after Unknown may run the request a second time.
package outcome

// Outcome is how a request ended.
type Outcome uint8

const (
	// Unknown means that the request may have run. It is the zero value, so an
	// outcome that was never set does not claim that a retry is safe.
	Unknown Outcome = iota
	// NotRun means that the request did not run and will not.
	NotRun
	// Complete means that the whole response reached the caller.
	Complete
)

// String returns the outcome's name as used in headers and JSON.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Complete:
		return "complete"
	default:
		return "unknown"
	}
}

// MarshalText implements encoding.TextMarshaler.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }
