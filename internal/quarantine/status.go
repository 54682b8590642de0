package quarantine

import "time"

// Status is the state of an identity in a Ledger.
type Status struct {
	// Crashes is the number of replica incarnations whose crash counts against the request.
	Crashes int
	// Quarantined reports whether the request is refused.
	Quarantined bool
	// SpareReplicas is the number of other replicas able to run the request that must be available
	// before it is sent to one; 0 means no restriction.
	SpareReplicas int
	// Left is the remaining time of the quarantine if no caller sends the request again, or the
	// remaining time for which SpareReplicas applies.
	Left time.Duration
}

// Worse reports whether s restricts a request more than other.
func (s Status) Worse(other Status) bool {
	if s.Quarantined != other.Quarantined {
		return s.Quarantined
	}
	if s.SpareReplicas != other.SpareReplicas {
		return s.SpareReplicas > other.SpareReplicas
	}
	return s.Crashes > other.Crashes
}
