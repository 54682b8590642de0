package plan

import (
	"math/rand/v2"
	"sync"

	"geraniumcroft/internal/config"
)

// maxTries bounds the precomputed paths that one choice looks at before it
// lays out a path of its own.
const maxTries = 16

// Chooser spreads requests over a set's plans by weight. Each VM seeds its own,
// so that VMs with the same set do not all take the same plan at the same
// moment. It is safe for concurrent use.
type Chooser struct {
	graph *graph
	paths []weightedPath
	total float64

	mu sync.Mutex // guards the fields below
	// credit holds for each urgency what each path is owed; the levels have turns
	// of their own, so that a burst of one level does not shift another onto few
	// targets.
	credit [config.UrgencyCount][]float64
	// turns is the member at which each group's next pick starts.
	turns  []int
	finder *search
	// fine is made when a plan that is cut within ranges needs a repair.
	fine  *search
	tried []bool
}

// NewChooser returns a chooser over the set. Equal seeds give equal choices.
func NewChooser(set *Set, seed uint64) *Chooser {
	random := rand.New(rand.NewPCG(seed, 0))
	c := &Chooser{graph: set.graph, paths: set.paths, finder: newSearch(set.graph), tried: make([]bool, len(set.paths))}
	for _, path := range c.paths {
		c.total += path.weight
	}
	for level := range c.credit {
		c.credit[level] = make([]float64, len(c.paths))
		for i, path := range c.paths {
			c.credit[level][i] = (random.Float64() - 0.5) * path.weight
		}
	}
	c.turns = make([]int, len(c.graph.groups))
	for i, grp := range c.graph.groups {
		c.turns[i] = random.IntN(len(grp.members))
	}
	return c
}

// Choose returns a plan whose targets are all usable and not excluded. It takes
// the precomputed plan whose turn it is among those that are free; when none is,
// it lays out the path of the least latency over what is usable.
func (c *Chooser) Choose(u config.Urgency, usable func(target string) bool, exclude map[string]bool) (Plan, bool) {
	free := func(name string) bool { return !exclude[name] && usable(name) }
	c.mu.Lock()
	defer c.mu.Unlock()
	if plan, ok := c.chooseWeighted(u, free); ok {
		return plan, true
	}
	return c.layOut(c.finder, c.graph.whole(), free)
}

func (c *Chooser) chooseWeighted(u config.Urgency, free func(string) bool) (Plan, bool) {
	credit := c.credit[u]
	for i, path := range c.paths {
		credit[i] += path.weight
		c.tried[i] = false
	}
	for range maxTries {
		best := c.richest(credit)
		if best < 0 {
			break
		}
		c.tried[best] = true
		if plan, ok := c.graph.pick(c.paths[best].legs, free, c.turns); ok {
			credit[best] -= c.total
			plan.Weight = c.paths[best].weight
			return plan, true
		}
	}
	c.undo(credit)
	return Plan{}, false
}

func (c *Chooser) richest(credit []float64) int {
	best := -1
	for i, owed := range credit {
		if !c.tried[i] && (best < 0 || owed > credit[best]) {
			best = i
		}
	}
	return best
}

func (c *Chooser) undo(credit []float64) {
	for i, path := range c.paths {
		credit[i] -= path.weight
	}
}

// layOut finds the path of the least latency over the span.
func (c *Chooser) layOut(finder *search, over span, free func(string) bool) (Plan, bool) {
	count := make([]int, len(c.graph.groups))
	allowed := make([]bool, len(count))
	for i, grp := range c.graph.groups {
		for _, member := range grp.members {
			if free(member.Name) {
				count[i]++
			}
		}
		allowed[i] = count[i] > 0
	}
	legs, _, ok := finder.run(over, c.graph.latencyPrices(), allowed)
	if !ok {
		return Plan{}, false
	}
	legs = c.graph.mergeRevisits(legs, func(group int) int { return count[group] })
	return c.graph.pick(legs, free, c.turns)
}
