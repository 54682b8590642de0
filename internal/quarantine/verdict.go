package quarantine

import "time"

// Status is what a Ledger says of a request.
type Status struct {
	// Crashes is how many replicas have ended under the request.
	Crashes int
	// Quarantined requests are refused.
	Quarantined bool
	// SpareReplicas is how many other replicas must be left that could run the request before it is sent to
	// one, 0 for any.
	SpareReplicas int
	// Left is for how long a quarantined request is refused if nobody asks for it again, or for how
	// long SpareReplicas holds.
	Left time.Duration
}
