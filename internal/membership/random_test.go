package membership

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// TestMain fixes the seed unless one is given, so that each run tests the same.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "320")
	flag.Parse()
	os.Exit(m.Run())
}

// noticedWithin is how many periods a fleet has to settle after its last fault:
// two shuffled rounds of probes, of which each third goes to the dead, the
// suspicion, and a round more for a VM that was falsely held dead.
func noticedWithin(fleet int) int {
	suspicion := int(Settings{}.withDefaults().suspicion(fleet) / period)
	return 2*(3*2*fleet/2) + 2*suspicion
}

// Operators look at the list of VMs while VMs die, come back, lose messages and
// are cut off from each other, all at random. Whatever the order, once the
// faults end each VM that lives is held alive by all and each that does not is
// held dead by all, within a bound; and no VM's incarnation, nor its version
// within one life, is ever seen to fall.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.IntRange(2, 9).Draw(rt, "size")
		c := newCluster(size, rapid.Uint64().Draw(rt, "seed"))
		seen := newWatch(size)
		for range rapid.IntRange(1, 20).Draw(rt, "faults") {
			c.fault(rt)
			for range rapid.IntRange(1, 12).Draw(rt, "periods") {
				c.step()
				seen.check(rt, c)
			}
		}
		c.heal()
		for range noticedWithin(size) {
			if c.unsettled() == "" {
				return
			}
			c.step()
			seen.check(rt, c)
		}
		if left := c.unsettled(); left != "" {
			rt.Fatalf("not settled within %d periods: %s", noticedWithin(size), left)
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
		c.apart = func(a, b int) bool { return (a < i) != (b < i) }
	case 4:
		c.apart = func(a, b int) bool { return a == i || b == i }
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
	c.apart = func(int, int) bool { return false }
}

// watch is the oracle: the highest that each VM has seen of each other.
type watch struct {
	highest [][]Member
	lives   [][]uint64
}

func newWatch(size int) *watch {
	w := &watch{}
	for range size {
		w.highest = append(w.highest, make([]Member, size))
		w.lives = append(w.lives, make([]uint64, size))
	}
	return w
}

func (w *watch) check(rt *rapid.T, c *cluster) {
	for i, on := range c.vms {
		for j := range c.vms {
			if w.lives[i][j] != on.life {
				w.highest[i][j] = Member{}
				w.lives[i][j] = on.life
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

// Operators see the other half of the fleet dead while two regions are apart for
// an hour. Each half holds the other dead and has nobody left who would mention
// it; after the cut is mended they find each other again by the probes of the
// dead, and each refutes.
func TestHealedPartitionMeetsAgain(t *testing.T) {
	c := newCluster(6, 1)
	c.run(24)
	c.apart = func(a, b int) bool { return (a < 3) != (b < 3) }
	for range 3600 {
		c.step()
	}
	if m, _ := c.vms[0].table.Get(name(5)); m.State != Dead {
		t.Fatalf("the far half is %s after an hour, want dead", m.State)
	}
	c.heal()
	if c.run(noticedWithin(6)) < 0 {
		t.Fatal(c.unsettled())
	}
}

// One VM of a quiet fleet dies without a word, and the platform's list goes on
// showing it. Each other VM notices within two rounds of its own probes, at any
// size; gossip makes it much sooner in a large fleet.
func TestDeathIsNoticedWithinBound(t *testing.T) {
	for _, size := range []int{2, 6, 16, 64} {
		c := newCluster(size, uint64(size))
		if c.run(4*size) < 0 {
			t.Fatalf("%d VMs do not find each other: %s", size, c.unsettled())
		}
		c.vms[0].up = false
		limit := 2*size + int(Settings{}.withDefaults().suspicion(size)/period) + 4
		took := c.run(limit)
		if took < 0 {
			t.Fatalf("%d VMs: not noticed within %d periods: %s", size, limit, c.unsettled())
		}
		t.Logf("%d VMs: noticed by all after %d periods", size, took)
	}
}

// The same at the size that the system is designed for, as a figure.
func BenchmarkDeathNoticed(b *testing.B) {
	for _, size := range []int{6, 16, 32, 64, 320} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var total, worst int
			for i := range b.N {
				c := newCluster(size, uint64(i))
				if c.run(4*size) < 0 {
					b.Fatal(c.unsettled())
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
