package platform

// Resolver determines the outcome of a transaction whose response was lost, from the
// current rows. It is called when none of the rows has the transaction's ID and a
// condition no longer holds: either another writer was first, or the transaction took
// effect and was overwritten. Only the writer can tell these apart by the values.
type Resolver func(rows []Row) Resolution

// ResolveWriteOnce is the Resolver for rows that are not overwritten while the writer
// waits: a row of another transaction proves that this transaction was refused.
func ResolveWriteOnce([]Row) Resolution { return ResolutionRefused }
