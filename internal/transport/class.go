package transport

// Class separates connections; requests of different classes never share one.
type Class uint8

// The classes of connections.
const (
	ClassBulk Class = iota
	ClassUrgent
	// ClassControl carries load reports, orders and cancels.
	ClassControl
)
