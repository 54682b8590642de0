package admission

// listOrder selects the links of a waiter that a list uses.
type listOrder uint8

const (
	// byStartOrder is used by the classes of a flow and the resumed requests of a level.
	byStartOrder listOrder = iota
	// byArrival is used by the list of all requests of a level that are in flows.
	byArrival
	// listOrderCount is the number of orders.
	listOrderCount
)
