package balance

// Result is the outcome of a request that used a slot.
type Result uint8

const (
	// ResultNeutral says nothing about the target.
	ResultNeutral Result = iota
	// ResultOK means that the target answered correctly.
	ResultOK
	// ResultFailed means that the target failed or stopped answering.
	ResultFailed
	// ResultSlow means that the target answered too late. It counts as a failure.
	ResultSlow
	// ResultBusy means that the target had no free slot. It is no failure of the target, but
	// this VM's estimate of its load was too low.
	ResultBusy
)
