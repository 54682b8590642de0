package plan

import (
	"math/rand/v2"
	"slices"
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
	graph   *graph
	paths   []weightedPath
	total   float64
	latency prices
	// eligible is set before the first Choose, or never.
	eligible func(target string) bool

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
	c.latency = c.graph.latencyPrices()
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

// SetEligible tells the chooser which targets take work at all, busy or not. With
// it, requests that are not urgent keep to the weights in a pool that is only
// full. It must be called before the first Choose.
func (c *Chooser) SetEligible(eligible func(target string) bool) { c.eligible = eligible }

// Choose returns a plan whose targets are all usable and not excluded. It takes
// the precomputed plan whose turn it is among those that are free. When none is,
// it lays out the path of the least latency over what is usable, unless the
// request had better wait; see SetEligible.
func (c *Chooser) Choose(w Query) (Plan, bool) {
	free := func(name string) bool { return !w.Exclude[name] && w.Usable(name) }
	c.mu.Lock()
	defer c.mu.Unlock()
	if plan, ok := c.chooseWeighted(w, free); ok {
		return plan, true
	}
	if !c.mayLayOut(w.Urgency, w.Exclude) {
		return Plan{}, false
	}
	return c.layOut(c.finder, c.graph.whole(), free)
}

// mayLayOut reports whether a request for which no precomputed path is free gets
// one of its own. In a pool that is merely full, paths beside the weights take the
// slots that the weighted ones wait for, and the pool as a whole makes fewer
// tokens; so a request that is not urgent waits as long as some weighted path
// stands and will come free. A request that comes back after a failure, and thus
// excludes targets, does not wait.
func (c *Chooser) mayLayOut(u config.Urgency, exclude map[string]bool) bool {
	if u == config.Urgent || len(exclude) > 0 || c.eligible == nil {
		return true
	}
	return !slices.ContainsFunc(c.paths, c.stands)
}

// stands reports whether every leg of the path has a member that takes work.
func (c *Chooser) stands(p weightedPath) bool {
	for _, l := range p.legs {
		eligible := func(member *config.Target) bool { return c.eligible(member.Name) }
		if !slices.ContainsFunc(c.graph.groups[l.group].members, eligible) {
			return false
		}
	}
	return true
}

func (c *Chooser) chooseWeighted(w Query, free func(string) bool) (Plan, bool) {
	credit := c.credit[w.Urgency]
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
		if plan, ok := c.graph.pick(c.paths[best].legs, free, c.turns, w.Prefer); ok {
			c.forgive(credit, credit[best])
			credit[best] -= c.total
			plan.Weight = c.paths[best].weight
			return plan, true
		}
	}
	c.undo(credit)
	return Plan{}, false
}

// forgive takes from the paths that were not free what they were owed above the
// chosen one. Otherwise a path that was busy for long would get every request in
// a row once it is free again.
func (c *Chooser) forgive(credit []float64, most float64) {
	for i, tried := range c.tried {
		if tried {
			credit[i] = min(credit[i], most)
		}
	}
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
	legs, _, ok := finder.run(over, c.latency, allowed)
	if !ok {
		return Plan{}, false
	}
	legs = c.graph.mergeRevisits(legs, func(group int) int { return count[group] })
	return c.graph.pick(legs, free, c.turns, nil)
}
