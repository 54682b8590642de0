package admission

// faults take safeguards away, so that tests can show that they notice.
type faults struct {
	noPriority bool
	noFairness bool
	noReview   bool
	noGates    bool
}
