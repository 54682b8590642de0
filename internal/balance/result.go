package balance

// Result says how the work on a slot went.
type Result uint8

const (
	// ResultNeutral says nothing about the target.
	ResultNeutral Result = iota
	// ResultOK means that the target answered well.
	ResultOK
	// ResultFailed means that the target failed or went silent.
	ResultFailed
	// ResultSlow means that the target answered too late; it counts as a failure.
	ResultSlow
	// ResultBusy means that the target had no free slot. It says nothing against
	// the target, but this VM's estimate of its load was too low.
	ResultBusy
)
