package platform

// Txn is one transaction: if all conditions hold, all writes are applied.
type Txn struct {
	// ID is unique to the transaction and chosen by the writer. It is kept with each
	// row that the transaction writes.
	ID         string      `json:"id"`
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
	// Resolver decides what became of the transaction after a lost answer when none of
	// its rows carries its ID; it may be nil. It stays on the writer's side.
	Resolver Resolver `json:"-"`
}
