package platformsim

// Operation is the type of a platform operation.
type Operation string

// The types of operations.
const (
	OpCommit Operation = "commit"
	OpRead   Operation = "read"
	OpObject Operation = "object"
	OpVMs    Operation = "vms"
)
