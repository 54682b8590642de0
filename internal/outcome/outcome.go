// Package outcome names the three ways in which a request can end and maps each
// to HTTP in one place.
//
// A request is Complete when the caller has the whole answer, NotRun when it
// certainly did not run and will not, and Unknown when it may have run. The
// difference matters to a caller that must not repeat a request: a retry after
// NotRun is safe, a retry after Unknown may double it.
package outcome

// Outcome is how a request ended.
type Outcome uint8

const (
	// Unknown means that the request may have run. It is the zero value, so a
	// result that nobody filled in never claims more than is known.
	Unknown Outcome = iota
	// NotRun means that the request did not run and will not.
	NotRun
	// Complete means that the whole answer reached the caller.
	Complete
)

// String returns the outcome's name as it stands in headers and JSON.
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
