package dispatch

// BudgetUsage is the state of a retry budget over its window.
type BudgetUsage struct {
	// Requests is the number of new requests in the window, Retries the number of retries.
	Requests int `json:"requests"`
	Retries  int `json:"retries"`
	// Limit is the largest number of retries that the window may have now.
	Limit int `json:"limit"`
}

// Exhausted reports whether no further retry may be made now.
func (u BudgetUsage) Exhausted() bool { return u.Retries >= u.Limit }
