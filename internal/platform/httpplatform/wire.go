package httpplatform

// The paths of the protocol.
const (
	PathCommit  = "/v1/table/commit"
	PathGet     = "/v1/table/get"
	PathScan    = "/v1/table/scan"
	PathObjects = "/v1/objects/"
	PathVMs     = "/v1/vms"
)

// CodeNotApplied is the Problem code by which the service declares that a commit
// did not and will not take effect.
const CodeNotApplied = "not-applied"
