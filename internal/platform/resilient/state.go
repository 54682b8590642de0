package resilient

// State is the part of the dump that describes a Client.
type State struct {
	Table   string `json:"table"`
	Objects string `json:"objects"`
	VMList  string `json:"vmList"`
	// Commits and Reads count the requests sent to the table, including resent ones.
	Commits uint64 `json:"commits"`
	Reads   uint64 `json:"reads"`
	Refused uint64 `json:"refused"`
	// Ambiguous counts lost responses, Resent the commits that were sent again to resolve
	// them, Resolved and Unresolved the results of the resolution.
	Ambiguous  uint64 `json:"ambiguous"`
	Resent     uint64 `json:"resent"`
	Resolved   uint64 `json:"resolved"`
	Unresolved uint64 `json:"unresolved"`
	// Throttled counts operations that failed for lack of rate budget.
	Throttled uint64 `json:"throttled"`
	// FastFailed counts operations that failed without a request because a circuit was open.
	FastFailed uint64 `json:"fastFailed"`
	Probes     uint64 `json:"probes"`
}
