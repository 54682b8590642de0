package admission

// listLinks are a waiter's neighbours in one list.
type listLinks struct{ prev, next *waiter }
