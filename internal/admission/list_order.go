package admission

// listOrder says which of a waiter's links a list uses.
type listOrder uint8

const (
	// byTurn lists are the classes of a flow and the resumed ones of a level.
	byTurn listOrder = iota
	// byArrival lists are a level's requests of all flows.
	byArrival
	listOrders
)
