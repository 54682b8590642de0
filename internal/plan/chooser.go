package plan

import (
	"math/rand/v2"
	"slices"
	"sync"

	"geraniumcroft/internal/config"
)

// maxAttempts bounds the precomputed paths that one choice tries before it computes a path of its
// own.
const maxAttempts = 16

// Chooser spreads requests over a set's plans by weight. Each VM has its own seed, so that VMs
// with the same set do not all choose the same plan at the same moment. It is safe for concurrent
// use.
type Chooser struct {
	graph   *graph
	paths   []weightedPath
	total   float64
	latency prices
	// eligible is set before the first Choose, or never.
	eligible func(target string) bool

	mu sync.Mutex // guards the fields below
	// credit is the credit of each path, by urgency. It is kept by urgency so that a burst at one
	// level does not shift another onto few targets.
	credit [config.UrgencyCount][]float64
	// nextMember is the index of the member at which each group's next pick starts.
	nextMember []int
	pathSearch *search
	// refinedSearch is created when a plan that is cut within ranges is first repaired.
	refinedSearch *search
	// tried marks the paths that the current choice has tried.
	tried []bool
}

// NewChooser returns a chooser for the set. Equal seeds give equal choices.
func NewChooser(set *Set, seed uint64) *Chooser {
	random := rand.New(rand.NewPCG(seed, 0))
	c := &Chooser{graph: set.graph, paths: set.paths, pathSearch: newSearch(set.graph), tried: make([]bool, len(set.paths))}
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
	c.nextMember = make([]int, len(c.graph.groups))
	for i, grp := range c.graph.groups {
		c.nextMember[i] = random.IntN(len(grp.members))
	}
	return c
}

// SetEligible sets the function that reports whether a target takes requests at all, busy or not.
// With it, requests that are not urgent use only weighted paths while the pool is merely full. It
// must be called before the first Choose.
func (c *Chooser) SetEligible(eligible func(target string) bool) { c.eligible = eligible }

// Choose returns a plan whose targets are all usable and not excluded. It takes the precomputed
// plan with the highest credit among those that are free. If there is none, it computes the plan
// of the least latency over the usable targets, unless the request should wait; see SetEligible.
func (c *Chooser) Choose(q Query) (Plan, bool) {
	free := func(name string) bool { return !q.Exclude[name] && q.Usable(name) }
	c.mu.Lock()
	defer c.mu.Unlock()
	if plan, ok := c.chooseWeighted(q, free); ok {
		return plan, true
	}
	if !c.allowsUnweighted(q.Urgency, q.Exclude) {
		return Plan{}, false
	}
	return c.cheapestPlan(c.pathSearch, c.graph.whole(), free)
}

// allowsUnweighted reports whether a request for which no precomputed path is free gets one of its
// own. In a pool that is merely full, unweighted paths take the slots that weighted ones wait for,
// and the throughput of the whole pool falls. So a request that is not urgent waits while some
// weighted path is eligible and will become free. A request that is retried after a failure, and
// thus excludes targets, does not wait.
func (c *Chooser) allowsUnweighted(u config.Urgency, exclude map[string]bool) bool {
	if u == config.Urgent || len(exclude) > 0 || c.eligible == nil {
		return true
	}
	return !slices.ContainsFunc(c.paths, c.isPathEligible)
}

// isPathEligible reports whether each leg of the path has an eligible member.
func (c *Chooser) isPathEligible(p weightedPath) bool {
	for _, l := range p.legs {
		eligible := func(member *config.Target) bool { return c.eligible(member.Name) }
		if !slices.ContainsFunc(c.graph.groups[l.group].members, eligible) {
			return false
		}
	}
	return true
}

// chooseWeighted adds each path's weight to its credit and returns a plan for the free path with
// the highest credit, which pays the sum of all weights (smooth weighted round robin). If none is
// free, the credit stays as it was.
func (c *Chooser) chooseWeighted(q Query, free func(string) bool) (Plan, bool) {
	credit := c.credit[q.Urgency]
	for i, path := range c.paths {
		credit[i] += path.weight
		c.tried[i] = false
	}
	for range maxAttempts {
		best := c.highestCredit(credit)
		if best < 0 {
			break
		}
		c.tried[best] = true
		if plan, ok := c.graph.pick(c.paths[best].legs, free, c.nextMember, q.Prefer); ok {
			c.capCredit(credit, credit[best])
			credit[best] -= c.total
			plan.Weight = c.paths[best].weight
			return plan, true
		}
	}
	c.refundCredit(credit)
	return Plan{}, false
}

// capCredit limits the credit of the paths that were tried and not free to that of the chosen one.
// Otherwise a path that was busy for long would get all requests in a row once it is free again.
func (c *Chooser) capCredit(credit []float64, most float64) {
	for i, tried := range c.tried {
		if tried {
			credit[i] = min(credit[i], most)
		}
	}
}

// highestCredit returns the path with the highest credit that was not tried yet, -1 if there is
// none.
func (c *Chooser) highestCredit(credit []float64) int {
	best := -1
	for i, amount := range credit {
		if !c.tried[i] && (best < 0 || amount > credit[best]) {
			best = i
		}
	}
	return best
}

// refundCredit takes back the credit that chooseWeighted has added.
func (c *Chooser) refundCredit(credit []float64) {
	for i, path := range c.paths {
		credit[i] -= path.weight
	}
}

// cheapestPlan returns the plan of the least latency over the span.
func (c *Chooser) cheapestPlan(pathSearch *search, over span, free func(string) bool) (Plan, bool) {
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
	legs, _, ok := pathSearch.run(over, c.latency, allowed)
	if !ok {
		return Plan{}, false
	}
	legs = c.graph.mergeRevisits(legs, func(group int) int { return count[group] })
	return c.graph.pick(legs, free, c.nextMember, nil)
}
