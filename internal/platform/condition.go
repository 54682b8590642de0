package platform

// Condition requires that a row is at a revision. Revision 0 requires that the row does not exist.
type Condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}
