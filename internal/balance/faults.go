package balance

// faults take safeguards away, so that tests can show that they notice.
type faults struct {
	noHeadroom   bool
	noDrain      bool
	noEjectBound bool
	noClaims     bool
}
