package platform

// Witness looks at the present rows of a transaction whose answer was lost, none
// of which carries its ID while a condition no longer holds. Either another writer
// was first, or this transaction took effect and was overwritten; only the writer
// knows how to tell from the values.
type Witness func(rows []Row) Verdict

// WrittenOnce is the Witness of rows that nobody overwrites while the writer waits:
// a row of another transaction proves that this one was refused.
func WrittenOnce([]Row) Verdict { return VerdictRefused }
