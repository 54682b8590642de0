package router

import (
	"flag"
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
	os.Exit(m.Run())
}
