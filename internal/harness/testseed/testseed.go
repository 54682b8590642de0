// Package testseed fixes the seed of a package's randomised tests.
//
// By default, pgregory.net/rapid uses a new seed in each run. A test that fails in one
// of a hundred runs would then block an unrelated change and pass when it is repeated.
// With a fixed seed, every run of the same code has the same result. Long test runs set
// new seeds with -rapid.seed.
package testseed

import (
	"flag"
	"testing"
)

const (
	rapidSeedFlag = "rapid.seed"
	// randomSeed is the default of rapid: a new seed in each run.
	randomSeed = "0"
	fixedSeed  = "1"
)

// Main runs the tests of a package. It sets a fixed seed unless the command line or the
// environment sets one; -rapid.seed=0 selects a new seed in each run. TestMain calls it in
// packages that import rapid.
func Main(m *testing.M) {
	flag.Parse()
	if !flagSet(rapidSeedFlag) && flag.Lookup(rapidSeedFlag).Value.String() == randomSeed {
		_ = flag.Set(rapidSeedFlag, fixedSeed)
	}
	m.Run()
}

// flagSet reports whether the flag is set on the command line.
func flagSet(name string) bool {
	found := false
	flag.Visit(func(f *flag.Flag) { found = found || f.Name == name })
	return found
}
