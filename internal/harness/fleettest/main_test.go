package fleettest

import (
	"flag"
	"strconv"
	"testing"

	"geraniumcroft/internal/harness/testseed"
)

const checksFlag = "rapid.checks"

// TestMain bounds the runs unless the command line gives their number, since each of
// them takes as long as a hundred of another package.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == checksFlag })
	if !given {
		_ = flag.Set(checksFlag, strconv.Itoa(checksInCI))
	}
	testseed.Main(m)
}
