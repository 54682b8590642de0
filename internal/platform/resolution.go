package platform

// Resolution is the outcome of a transaction as determined by a Resolver.
type Resolution uint8

const (
	// ResolutionUnknown means that the rows do not show the outcome.
	ResolutionUnknown Resolution = iota
	// ResolutionCommitted means that the transaction took effect and its rows were
	// overwritten since.
	ResolutionCommitted
	// ResolutionRefused means that the transaction did not take effect and its conditions
	// no longer hold.
	ResolutionRefused
)
