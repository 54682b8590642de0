package balance

// The reasons why a target takes no new requests from this VM.
const (
	ReasonNotConfigured  = "not configured"
	ReasonRemoved        = "removed"
	ReasonDraining       = "draining"
	ReasonListedLeaving  = "leaving, says the VM list"
	ReasonReportsLeaving = "leaving, says its report"
	ReasonOutsideSubset  = "outside this VM's subset"
	ReasonEjected        = "ejected"
)
