package platform

// Resolver looks at the present rows of a transaction whose answer was lost, none
// of which carries its ID while a condition no longer holds. Either another writer
// was first, or this transaction took effect and was overwritten; only the writer
// knows how to tell from the values.
type Resolver func(rows []Row) Resolution

// ResolveWriteOnce is the Resolver of rows that nobody overwrites while the writer waits:
// a row of another transaction proves that this one was refused.
func ResolveWriteOnce([]Row) Resolution { return ResolutionRefused }
