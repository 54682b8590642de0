package platform

// Verdict is what a Witness says became of a transaction.
type Verdict uint8

const (
	// VerdictUnknown: the rows do not tell.
	VerdictUnknown Verdict = iota
	// VerdictCommitted: it took effect and its rows were overwritten since.
	VerdictCommitted
	// VerdictRefused: it did not take effect and its conditions no longer hold.
	VerdictRefused
)
