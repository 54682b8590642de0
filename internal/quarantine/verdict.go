package quarantine

import "time"

// Verdict is what a Ledger says of a request.
type Verdict struct {
	// Ends is how many replicas have ended under the request.
	Ends int
	// Quarantined requests are refused.
	Quarantined bool
	// Spare is how many other replicas must be left that could run the request before it is sent to
	// one, 0 for any.
	Spare int
	// Left is for how long a quarantined request is refused if nobody asks for it again, or for how
	// long Spare holds.
	Left time.Duration
}
