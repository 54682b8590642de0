package httpplatform

// URL paths of the protocol.
const (
	PathCommit  = "/v1/table/commit"
	PathGet     = "/v1/table/get"
	PathScan    = "/v1/table/scan"
	PathObjects = "/v1/objects/"
	PathVMs     = "/v1/vms"
)

// CodeNotApplied is the Problem code with which the service states that a commit did not
// and will not take effect.
const CodeNotApplied = "not-applied"
