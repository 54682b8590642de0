package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// Guards against culprits that get through, and against innocent requests that are taken for
// culprits because replicas crash around them.
func TestCulpritsAreStoppedAndInnocentsServed(t *testing.T) {
	for _, c := range []struct {
		name          string
		vms, replicas int
		rate          float64
		spread        time.Duration
		culprits      int
		repeated      bool
		pause, racks  time.Duration
		seeds         uint64
		lasting       time.Duration
	}{
		{"6 VMs, culprits alone", 6, 3, 65, 50 * time.Millisecond, 3, false, time.Hour, time.Hour, 5, 2 * time.Minute},
		{"6 VMs, crashes alone", 6, 3, 65, 50 * time.Millisecond, 0, false, 2 * time.Second, 20 * time.Second, 5, 2 * time.Minute},
		{"6 VMs, both", 6, 3, 65, 50 * time.Millisecond, 3, false, 5 * time.Second, 30 * time.Second, 5, 2 * time.Minute},
		{"6 VMs, both, callers repeat one body", 6, 3, 65, 50 * time.Millisecond, 3, true, 5 * time.Second, 30 * time.Second, 5, 2 * time.Minute},
		{"88 VMs, both, slow news", 88, 20, 200, 2 * time.Second, 5, false, 2 * time.Second, 20 * time.Second, 2, 30 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			asked, refused, worst, lateWorst := 0, 0, 0, 0
			for seed := range c.seeds {
				p := newLoadPlay(seed, c.vms, c.replicas, c.spread)
				p.repeated = c.repeated
				p.callers(c.rate)
				for i := range c.culprits {
					p.culprit(fmt.Sprint("culprit ", i), 1500*time.Millisecond)
				}
				if c.pause < time.Hour {
					p.crashes(c.pause, c.racks)
				}
				p.run(c.lasting)
				asked += p.asked
				refused += p.refusedInnocent
				for d, crashes := range p.crashesOf {
					worst = max(worst, crashes)
					lateWorst = max(lateWorst, p.lateSends[d])
				}
			}
			t.Logf("%d of %d innocent requests refused, at most %d replicas crashed under a culprit, %d sends of one after %s", refused, asked, worst, lateWorst, playedStability)
			if refused > refusalSlack+asked/innocentsPerRefusal {
				t.Errorf("%d of %d innocent requests were refused", refused, asked)
			}
			if lateWorst > lateSendsAllowed || worst > DefaultSettings.CrashThreshold+lateSendsAllowed {
				t.Errorf("%d replicas crashed under one culprit, which was sent %d times later than %s after the third", worst, lateWorst, playedStability)
			}
		})
	}
}

// Guards against one culprit that ends all replicas at which requests can begin, so that nobody is
// served until they have started again.
func TestCulpritLeavesReplicasToOthers(t *testing.T) {
	const seeds, rate, leastShare = 20, 65, 50
	for seed := range uint64(seeds) {
		p := newLoadPlay(seed, 6, 3, 50*time.Millisecond)
		p.callers(rate)
		p.culprit("culprit", 1500*time.Millisecond)
		p.run(time.Minute)
		if p.nobodyUp > 0 {
			t.Errorf("seed %d: no replica was up for %d sends", seed, p.nobodyUp)
		}
		if p.kept > p.asked/leastShare {
			t.Errorf("seed %d: %d of %d requests were kept waiting", seed, p.kept, p.asked)
		}
		if crashes := p.crashesOf[DigestOf(Content{Body: []byte("culprit")})]; crashes >= DefaultSettings.CrashThreshold {
			t.Errorf("seed %d: %d replicas crashed", seed, crashes)
		}
	}
}
