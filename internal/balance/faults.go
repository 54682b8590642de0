package balance

// faults disables safeguards, so that tests can prove that they detect their absence.
type faults struct {
	noHeadroom   bool
	noDrain      bool
	noEjectBound bool
	noClaims     bool
}
