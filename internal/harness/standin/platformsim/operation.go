package platformsim

// Operation names what a chooser decides about.
type Operation string

// The operations.
const (
	OpCommit Operation = "commit"
	OpRead   Operation = "read"
	OpObject Operation = "object"
	OpVMs    Operation = "vms"
)
