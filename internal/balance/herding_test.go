package balance

import (
	"flag"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// Parameters of the simulation: several VMs send to targets whose reports are made each second
// and reach every VM half a second later. The counts of peers arrive each 200 ms.
const (
	herdTargets     = 40
	herdMeanLoad    = 10.0
	herdService     = time.Second
	herdReportEvery = time.Second
	herdReportLag   = 500 * time.Millisecond
	herdPeerEvery   = 200 * time.Millisecond
	herdLength      = 5 * time.Second
	herdTableLength = 12 * time.Second
	herdWarmUp      = 3 * time.Second
	// In an uneven simulation each fourth target takes twice as long and has other load that
	// the VMs know only from its reports.
	herdSlowStep    = 4
	herdOutsideLoad = 10
	// herdTolerance is how much worse than round robin the balancer may be with equal
	// targets, which is the best case for round robin.
	herdTolerance = 1.1
)

// herdTable enables all strategies for all numbers of VMs, which takes too long for a usual
// test run.
var herdTable = flag.Bool("herding.table", false, "compare all ways of choosing by 6 and 64 VMs")

// herdStrategy is one strategy in the comparison.
type herdStrategy struct {
	name     string
	compared bool
	make     func(random *rand.Rand) herdChooser
}

func herdStrategies() []herdStrategy {
	report := func(choices int) func(*rand.Rand) herdChooser {
		return func(random *rand.Rand) herdChooser {
			return &reportChooser{random: random, choices: choices, next: random.IntN(herdTargets)}
		}
	}
	balanced := func(choices int, peers bool) func(*rand.Rand) herdChooser {
		return func(random *rand.Rand) herdChooser { return newBalancerChooser(random, choices, peers) }
	}
	return []herdStrategy{
		{"round robin", true, report(0)},
		{"least reported", true, report(herdTargets)},
		{"two by report", false, report(2)},
		{"two, own sends", false, balanced(2, false)},
		{"three, own sends", false, balanced(3, false)},
		{"all, own sends", false, balanced(herdTargets, false)},
		{"two, own sends and peers", true, balanced(2, true)},
		{"three, own sends and peers", false, balanced(3, true)},
		{"all, own sends and peers", false, balanced(herdTargets, true)},
	}
}

func runHerd(t *testing.T, way herdStrategy, vms int, uneven bool, length time.Duration) (mean, p99 float64) {
	synctest.Test(t, func(t *testing.T) {
		h := &herd{random: rand.New(rand.NewPCG(1, 2)), uneven: uneven, length: length}
		for range vms {
			h.choosers = append(h.choosers, way.make(h.random))
		}
		mean, p99 = h.run()
	})
	t.Logf("%2d VMs, uneven %-5t %-26s max/mean load: mean %5.2f, 99th percentile %5.2f", vms, uneven, way.name, mean, p99)
	return mean, p99
}

// Many VMs use the same outdated reports. If they choose the least loaded target, they all
// choose the same one and overload it until the next report. The balancer must avoid this, and
// must balance uneven targets better than round robin does.
func TestStaleReportsDoNotHerd(t *testing.T) {
	for _, uneven := range []bool{false, true} {
		means := map[string]float64{}
		for _, way := range herdStrategies() {
			if *herdTable {
				_, _ = runHerd(t, way, 64, uneven, herdTableLength)
				_, _ = runHerd(t, way, 6, uneven, herdTableLength)
			}
			if way.compared {
				means[way.name], _ = runHerd(t, way, 6, uneven, herdLength)
			}
		}
		chosen := means["two, own sends and peers"]
		if limit := min(means["round robin"]*herdTolerance, means["least reported"]/2); chosen >= limit {
			t.Errorf("uneven %t: max/mean load %.2f, want less than %.2f", uneven, chosen, limit)
		}
	}
}
