package fleettest

import (
	"flag"
	"strconv"
	"testing"

	"geraniumcroft/internal/harness/testseed"
)

const checksFlag = "rapid.checks"

// TestMain limits the number of runs to checksInCI unless the command line sets it,
// since one run takes as long as a hundred runs of the tests of other packages.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == checksFlag })
	if !given {
		_ = flag.Set(checksFlag, strconv.Itoa(checksInCI))
	}
	testseed.Main(m)
}
