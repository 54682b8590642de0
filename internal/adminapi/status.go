package adminapi

// Status says whether a change is in force.
type Status string

const (
	// StatusAccepted: in force on every VM that may serve.
	StatusAccepted Status = "accepted"
	// StatusPending: not, or not known to be, in force everywhere.
	StatusPending Status = "pending"
)
