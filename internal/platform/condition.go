package platform

// Condition demands that a row is at a revision; 0 demands that there is no row.
type Condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}
