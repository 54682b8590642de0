package platform

// Resolution is what a Resolver says became of a transaction.
type Resolution uint8

const (
	// ResolutionUnknown: the rows do not tell.
	ResolutionUnknown Resolution = iota
	// ResolutionCommitted: it took effect and its rows were overwritten since.
	ResolutionCommitted
	// ResolutionRefused: it did not take effect and its conditions no longer hold.
	ResolutionRefused
)
