package platform

// Txn is one transaction: if all conditions hold, all writes are applied, otherwise none.
type Txn struct {
	// ID identifies the transaction uniquely and is chosen by the writer. It is stored with
	// each row that the transaction writes.
	ID         string      `json:"id"`
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
	// Era is the table's era in which the rows of the conditions were read, 0 if unknown. In a later
	// era the conditions may hold for other rows than those. It is not sent to the service.
	Era uint64 `json:"-"`
	// Resolver determines the outcome of the transaction after a lost response when none
	// of its rows has its ID. It may be nil and is not sent to the service.
	Resolver Resolver `json:"-"`
}
