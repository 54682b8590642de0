package adminapi

// Status says whether a change is in force.
type Status string

const (
	// StatusAccepted means that the change is in force on every VM that may serve.
	StatusAccepted Status = "accepted"
	// StatusPending means that the change is not in force on all of these VMs, or
	// that this is not known.
	StatusPending Status = "pending"
)
