package balance

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/invariant"
)

// balancerChooser chooses with a Balancer.
type balancerChooser struct {
	b        *Balancer
	usePeers bool
}

func newBalancerChooser(random *rand.Rand, choices int, usePeers bool) *balancerChooser {
	b := New(Settings{Choices: choices, random: random.IntN}, invariant.Strict())
	b.Update(services(herdTargets, 1000))
	return &balancerChooser{b, usePeers}
}

func (c *balancerChooser) choose() (int, func()) {
	slot, err := c.b.Pick(Query{Pool: "svc", Urgency: config.Urgent})
	if err != nil {
		panic(err)
	}
	return herdIndex(slot.Target().Name), func() { slot.Release(ResultNeutral) }
}

func (c *balancerChooser) report(target int, r engine.LoadReport) { c.b.Report(herdName(target), r) }

func (c *balancerChooser) inFlight() map[string]int { return c.b.InFlight() }

func (c *balancerChooser) receive(peer int, inFlight map[string]int) {
	if c.usePeers {
		c.b.PeerLoad(fmt.Sprint(peer), inFlight)
	}
}

// reportChooser uses only the last reports: of a few random targets, of all, or, with 0
// choices, of none, by round robin.
type reportChooser struct {
	random  *rand.Rand
	choices int
	next    int
	loads   [herdTargets]int
}

func (c *reportChooser) choose() (int, func()) {
	return c.target(), func() {}
}

func (c *reportChooser) target() int {
	c.next = (c.next + 1) % herdTargets
	if c.choices == 0 {
		return c.next
	}
	order := c.random.Perm(herdTargets)[:c.choices]
	return slices.MinFunc(order, func(a, b int) int { return cmp.Compare(c.loads[a], c.loads[b]) })
}

func (c *reportChooser) report(target int, r engine.LoadReport) { c.loads[target] = r.Active }

func (c *reportChooser) receive(int, map[string]int) {}

func (c *reportChooser) inFlight() map[string]int { return nil }
