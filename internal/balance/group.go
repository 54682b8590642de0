package balance

import "sync"

// group holds the targets of a pool that can stand in for each other: the
// instances of a service, or the engines of a model version with the same layers.
type group struct {
	targets []*target

	mu      sync.Mutex // guards ejected
	ejected int
}

// mayEject counts one more ejection unless that would pass the bound. At least
// one target always stays, even where all look bad: a bad target may answer,
// none never does, and what looks like the fault of all is likely our own.
func (g *group) mayEject(share float64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	bound := min(max(int(share*float64(len(g.targets))), 1), len(g.targets)-1)
	if g.ejected >= bound {
		return false
	}
	g.ejected++
	return true
}

func (g *group) restored() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ejected--
}
