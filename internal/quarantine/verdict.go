package quarantine

import "time"

// Verdict is what a Ledger says of a request.
type Verdict struct {
	// Ends is how many replicas have ended under the request.
	Ends int
	// Quarantined requests are refused.
	Quarantined bool
	// Left is for how long a quarantined request is refused if nobody asks for it again.
	Left time.Duration
}
