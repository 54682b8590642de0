package membership

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// TestMain sets a fixed seed unless one is given, so that each run tests the same cases.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "320")
	flag.Parse()
	os.Exit(m.Run())
}

// convergenceBound is the number of periods within which a fleet has to agree after its last fault:
// two shuffled rounds of probes, of which every third goes to a dead VM, the suspicion, and one more
// round for a VM that was wrongly declared dead.
func convergenceBound(fleet int) int {
	suspicion := int(Settings{}.withDefaults().suspicionTimeout(fleet) / period)
	return 2*(3*2*fleet/2) + 2*suspicion
}

// VMs die, restart, lose messages and are cut off from each other at random. Whatever the order,
// once the faults end, every live VM must be alive on all VMs and every other one dead, within a
// bound. The incarnation of a VM, and its version within one process, must never be seen to fall.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.IntRange(2, 9).Draw(rt, "size")
		c := newCluster(size, rapid.Uint64().Draw(rt, "seed"))
		seen := newMonotonicOracle(size)
		for range rapid.IntRange(1, 20).Draw(rt, "faults") {
			c.fault(rt)
			for range rapid.IntRange(1, 12).Draw(rt, "periods") {
				c.step()
				seen.check(rt, c)
			}
		}
		c.heal()
		for range convergenceBound(size) {
			if c.disagreement() == "" {
				return
			}
			c.step()
			seen.check(rt, c)
		}
		if left := c.disagreement(); left != "" {
			rt.Fatalf("no agreement within %d periods: %s", convergenceBound(size), left)
		}
	})
}

func (c *cluster) fault(rt *rapid.T) {
	i := rapid.IntRange(0, len(c.vms)-1).Draw(rt, "vm")
	switch rapid.IntRange(0, 8).Draw(rt, "fault") {
	case 0:
		c.vms[i].up = false
	case 1:
		c.boot(i)
	case 2:
		c.loss = rapid.Float64Range(0, 0.7).Draw(rt, "loss")
	case 3:
		c.disconnected = func(a, b int) bool { return (a < i) != (b < i) }
	case 4:
		c.disconnected = func(a, b int) bool { return a == i || b == i }
	case 5:
		c.heal()
	case 6:
		if c.vms[i].up {
			table := c.vms[i].table
			table.SetVersion(table.Self().Version + 1)
		}
	}
}

func (c *cluster) heal() {
	c.loss = 0
	c.disconnected = func(int, int) bool { return false }
}

// monotonicOracle holds the last state that each VM has seen of each other one.
type monotonicOracle struct {
	highest [][]Member
	boots   [][]uint64
}

func newMonotonicOracle(size int) *monotonicOracle {
	w := &monotonicOracle{}
	for range size {
		w.highest = append(w.highest, make([]Member, size))
		w.boots = append(w.boots, make([]uint64, size))
	}
	return w
}

func (w *monotonicOracle) check(rt *rapid.T, c *cluster) {
	for i, on := range c.vms {
		for j := range c.vms {
			if w.boots[i][j] != on.boots {
				w.highest[i][j] = Member{}
				w.boots[i][j] = on.boots
			}
			m, known := on.table.Get(name(j))
			if !known {
				continue
			}
			before := w.highest[i][j]
			if m.Incarnation < before.Incarnation {
				rt.Fatalf("%s's incarnation fell on %s", m.Name, name(i))
			}
			if m.Incarnation.ProcessStart() == before.Incarnation.ProcessStart() && m.Version < before.Version {
				rt.Fatalf("%s's version fell on %s", m.Name, name(i))
			}
			w.highest[i][j] = m
		}
	}
}

// Two regions are cut off from each other for an hour. Each half holds the other dead, and no VM
// is left that would gossip about it. After the partition heals, the halves must find each other
// again by the probes of dead VMs, and each VM must refute.
func TestHealedPartitionMeetsAgain(t *testing.T) {
	c := newCluster(6, 1)
	c.run(24)
	c.disconnected = func(a, b int) bool { return (a < 3) != (b < 3) }
	for range 3600 {
		c.step()
	}
	if m, _ := c.vms[0].table.Get(name(5)); m.State != Dead {
		t.Fatalf("the other half is %s after an hour, want dead", m.State)
	}
	c.heal()
	if c.run(convergenceBound(6)) < 0 {
		t.Fatal(c.disagreement())
	}
}

// One VM of an idle fleet fails silently and stays on the platform's list. Each other VM must
// notice within two rounds of its own probes, whatever the fleet size; in a large fleet gossip
// makes it much faster.
func TestDeathIsNoticedWithinBound(t *testing.T) {
	for _, size := range []int{2, 6, 16, 64} {
		c := newCluster(size, uint64(size))
		if c.run(4*size) < 0 {
			t.Fatalf("%d VMs do not find each other: %s", size, c.disagreement())
		}
		c.vms[0].up = false
		limit := 2*size + int(Settings{}.withDefaults().suspicionTimeout(size)/period) + 4
		took := c.run(limit)
		if took < 0 {
			t.Fatalf("%d VMs: not noticed within %d periods: %s", size, limit, c.disagreement())
		}
		t.Logf("%d VMs: noticed by all after %d periods", size, took)
	}
}

// BenchmarkDeathNoticed measures the same up to the fleet size that the system is designed for.
func BenchmarkDeathNoticed(b *testing.B) {
	for _, size := range []int{6, 16, 32, 64, 320} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var total, worst int
			for i := range b.N {
				c := newCluster(size, uint64(i))
				if c.run(4*size) < 0 {
					b.Fatal(c.disagreement())
				}
				c.vms[0].up = false
				took := c.run(4 * size)
				total += took
				worst = max(worst, took)
			}
			b.ReportMetric(float64(total)/float64(b.N), "periods")
			b.ReportMetric(float64(worst), "worst-periods")
		})
	}
}
