package fleettest

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain fixes the seed of the randomised tests unless one is given, so that
// every run has the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	if !given("rapid.checks") {
		_ = flag.Set("rapid.checks", fmt.Sprint(checksInCI))
	}
	os.Exit(m.Run())
}

func given(name string) bool {
	found := false
	flag.Visit(func(f *flag.Flag) { found = found || f.Name == name })
	return found
}
