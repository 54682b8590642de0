package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// Guards against culprits (requests that crash the replicas that run them) that are still sent after
// the quarantine, and against innocent requests that are quarantined because replicas crash for other
// reasons while they run.
func TestCulpritsAreStoppedAndInnocentsServed(t *testing.T) {
	for _, c := range []struct {
		name           string
		vms, replicas  int
		rate           float64
		maxReportDelay time.Duration
		culprits       int
		repeated       bool
		pause, racks   time.Duration
		seeds          uint64
		duration       time.Duration
	}{
		{"6 VMs, culprits alone", 6, 3, 65, 50 * time.Millisecond, 3, false, time.Hour, time.Hour, 5, 2 * time.Minute},
		{"6 VMs, crashes alone", 6, 3, 65, 50 * time.Millisecond, 0, false, 2 * time.Second, 20 * time.Second, 5, 2 * time.Minute},
		{"6 VMs, both", 6, 3, 65, 50 * time.Millisecond, 3, false, 5 * time.Second, 30 * time.Second, 5, 2 * time.Minute},
		{"6 VMs, both, callers repeat one body", 6, 3, 65, 50 * time.Millisecond, 3, true, 5 * time.Second, 30 * time.Second, 5, 2 * time.Minute},
		{"88 VMs, both, slow reports", 88, 20, 200, 2 * time.Second, 5, false, 2 * time.Second, 20 * time.Second, 2, 30 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			submitted, refused, worst, lateWorst := 0, 0, 0, 0
			for seed := range c.seeds {
				s := newSimulation(seed, c.vms, c.replicas, c.maxReportDelay)
				s.repeated = c.repeated
				s.callers(c.rate)
				for i := range c.culprits {
					s.culprit(fmt.Sprint("culprit ", i), 1500*time.Millisecond)
				}
				if c.pause < time.Hour {
					s.crashes(c.pause, c.racks)
				}
				s.run(c.duration)
				submitted += s.submitted
				refused += s.refusedInnocent
				for d, crashes := range s.crashesOf {
					worst = max(worst, crashes)
					lateWorst = max(lateWorst, s.lateSends[d])
				}
			}
			t.Logf("%d of %d innocent requests refused; per culprit at most %d replicas crashed and it was sent %d times later than %s after the third crash", refused, submitted, worst, lateWorst, propagationTime)
			if refused > refusalSlack+submitted/innocentsPerRefusal {
				t.Errorf("%d of %d innocent requests were refused", refused, submitted)
			}
			if lateWorst > lateSendsAllowed || worst > DefaultSettings.CrashThreshold+lateSendsAllowed {
				t.Errorf("one culprit crashed %d replicas, or was sent %d times later than %s after the third crash", worst, lateWorst, propagationTime)
			}
		})
	}
}

// Guards against one culprit that crashes all replicas at which requests can begin, so that no request
// is served until they have started again.
func TestCulpritLeavesReplicasToOthers(t *testing.T) {
	const seeds, rate, leastShare = 20, 65, 50
	for seed := range uint64(seeds) {
		s := newSimulation(seed, 6, 3, 50*time.Millisecond)
		s.callers(rate)
		s.culprit("culprit", 1500*time.Millisecond)
		s.run(time.Minute)
		if s.noReplicaUp > 0 {
			t.Errorf("seed %d: no replica was available for %d sends", seed, s.noReplicaUp)
		}
		if s.withheld > s.submitted/leastShare {
			t.Errorf("seed %d: %d of %d requests were not sent for lack of spare replicas", seed, s.withheld, s.submitted)
		}
		if crashes := s.crashesOf[DigestOf(Content{Body: []byte("culprit")})]; crashes >= DefaultSettings.CrashThreshold {
			t.Errorf("seed %d: %d replicas crashed", seed, crashes)
		}
	}
}

// Guards against parts of prompts that still crash replicas once they are known, and against innocent drafts
// that are refused because their prompts begin as those of the culprits, or because their replicas crash.
func TestCulpritPartsAreStoppedAndInnocentsServed(t *testing.T) {
	const knownAfter, duration = 5, 2 * time.Minute
	for _, c := range []struct {
		name           string
		vms, replicas  int
		rate           float64
		maxReportDelay time.Duration
		culprits       int
		first          bool
		spared         int
		pause, racks   time.Duration
		seeds          uint64
	}{
		{"one part alone", 6, 3, 65, 50 * time.Millisecond, 1, false, 0, time.Hour, time.Hour, 10},
		{"three parts alone", 6, 3, 65, 50 * time.Millisecond, 3, false, 0, time.Hour, time.Hour, 10},
		{"three first parts alone", 6, 3, 65, 50 * time.Millisecond, 3, true, 0, time.Hour, time.Hour, 10},
		{"three parts, nine in ten runs crash", 6, 3, 65, 50 * time.Millisecond, 3, false, 10, time.Hour, time.Hour, 10},
		{"crashes alone", 6, 3, 65, 50 * time.Millisecond, 0, false, 0, 2 * time.Second, 20 * time.Second, 10},
		{"three parts, crashes", 6, 3, 65, 50 * time.Millisecond, 3, false, 0, 5 * time.Second, 30 * time.Second, 10},
		{"88 VMs, five parts, crashes, slow reports", 88, 20, 200, 2 * time.Second, 5, false, 0, 2 * time.Second, 20 * time.Second, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			submitted, refused, withheld, worst, lateWorst := 0, 0, 0, 0, 0
			for seed := range c.seeds {
				s := newSimulation(seed, c.vms, c.replicas, c.maxReportDelay)
				s.firstParts, s.spared, s.threshold = 60, c.spared, knownAfter
				s.callers(c.rate)
				for i := range c.culprits {
					s.culpritPart(fmt.Sprint("culprit ", i), c.first, 700*time.Millisecond)
				}
				if c.pause < time.Hour {
					s.crashes(c.pause, c.racks)
				}
				s.run(duration)
				submitted += s.submitted
				refused += s.refusedInnocent
				withheld += s.withheld
				for d, crashes := range s.crashesOf {
					worst = max(worst, crashes)
					lateWorst = max(lateWorst, s.lateSends[d])
				}
			}
			t.Logf("%d of %d innocent drafts refused; %d sends withheld; per culprit at most %d replicas crashed and it was sent %d times later than %s after crash %d", refused, submitted, withheld, worst, lateWorst, propagationTime, knownAfter)
			if refused > refusalSlack+submitted/innocentsPerRefusal {
				t.Errorf("%d of %d innocent drafts were refused", refused, submitted)
			}
			if lateWorst > lateSendsAllowed {
				t.Errorf("one culprit was sent %d times later than %s after crash %d", lateWorst, propagationTime, knownAfter)
			}
		})
	}
}
