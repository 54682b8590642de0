package admission

// faults disables mechanisms, so that tests can show that they detect the absence.
// It is zero outside of tests.
type faults struct {
	noPriority bool
	noFairness bool
	noReview   bool
	noGates    bool
}
