package admission

// listLinks holds the neighbours of a waiter in one list.
type listLinks struct{ prev, next *waiter }
