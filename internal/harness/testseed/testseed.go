// Package testseed fixes the seed of a package's randomised tests.
//
// pgregory.net/rapid takes a fresh seed on each run. A test that fails once in a
// hundred runs would then block a change that has nothing to do with it, and pass
// when it is run again. With a fixed seed every run of the same code has the same
// verdict; fresh seeds are for the long runs, which give one by -rapid.seed.
package testseed

import (
	"flag"
	"testing"
)

const (
	rapidSeed = "rapid.seed"
	// random is rapid's own default: another seed on each run.
	random = "0"
	fixed  = "1"
)

// Main runs the package's tests, with the seed fixed unless the command line or the
// environment gives one; -rapid.seed=0 asks for another on each run. It is called by
// TestMain, in packages that import rapid.
func Main(m *testing.M) {
	flag.Parse()
	if !given(rapidSeed) && flag.Lookup(rapidSeed).Value.String() == random {
		_ = flag.Set(rapidSeed, fixed)
	}
	m.Run()
}

func given(name string) bool {
	found := false
	flag.Visit(func(f *flag.Flag) { found = found || f.Name == name })
	return found
}
