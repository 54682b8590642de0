package resilient

// State is what the dump shows of a Client.
type State struct {
	Table   string `json:"table"`
	Objects string `json:"objects"`
	VMList  string `json:"vmList"`
	// Commits and Reads are those sent to the table, repeated ones included.
	Commits uint64 `json:"commits"`
	Reads   uint64 `json:"reads"`
	Refused uint64 `json:"refused"`
	// Ambiguous counts lost answers, Resent the commits sent again for them,
	// Resolved and Unresolved how those ended.
	Ambiguous  uint64 `json:"ambiguous"`
	Resent     uint64 `json:"resent"`
	Resolved   uint64 `json:"resolved"`
	Unresolved uint64 `json:"unresolved"`
	// Throttled counts operations that the rate budget refused.
	Throttled uint64 `json:"throttled"`
	// FastFailed counts operations refused at once while a service was down.
	FastFailed uint64 `json:"fastFailed"`
	Probes     uint64 `json:"probes"`
}
