package incarnation

// Fault says what is wrong with the start time that a replica reports.
type Fault string

// The faults of a start time.
const (
	FaultNone Fault = ""
	// FaultMissing: the replica reports none.
	FaultMissing Fault = "missing"
	// FaultUnreadable: it is not a whole number.
	FaultUnreadable Fault = "no whole number"
	// FaultAhead: it is in the future.
	FaultAhead Fault = "in the future"
	// FaultEarlier: it is before one that was already reported.
	FaultEarlier Fault = "before one already seen"
)
