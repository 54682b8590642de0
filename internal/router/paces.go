package router

import (
	"slices"
	"sync"
	"time"

	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/config"
)

const (
	// paceWindow is how many streams of an engine all have to be slow. A stream is
	// as slow as its slowest stage, so some of a good engine's streams are slow by a
	// partner, but hardly several in a row.
	paceWindow = 4
	// paceContrast is how many times faster a partner must have been with others. A
	// partner that is slow with all may be the cause itself, as one that all streams
	// of a full pool wait for is.
	paceContrast = 2
	// paceFloor is the time between tokens below which no stream counts as slow.
	paceFloor = 10 * time.Millisecond
	// paceKept is how long a pace is compared with.
	paceKept = time.Minute
)

// paces finds engines that still answer, but far slower than those that can stand
// in for them. Without it such an engine keeps its share of the streams, as it fails
// none, and each of its callers waits many times as long as the others.
type paces struct {
	mu     sync.Mutex // guards the field below
	groups map[paceGroup]map[string]*recentPaces
}

// paceGroup names engines whose paces can be compared.
type paceGroup struct {
	model, version, accelerator string
	layers                      config.LayerRange
	rate                        float64
}

func groupOf(t *config.Target) paceGroup {
	return paceGroup{model: t.Model, version: t.Version, accelerator: t.Accelerator, layers: t.Layers, rate: t.LayerTokensPerSecond}
}

// recentPaces are those of one engine's last streams.
type recentPaces struct {
	values []time.Duration
	at     time.Time
}

func newPaces() *paces { return &paces{groups: map[paceGroup]map[string]*recentPaces{}} }

// add takes the pace of a stream that these engines worked on together.
func (p *paces) add(stages []*config.Target, pace time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range stages {
		members := p.members(groupOf(t))
		if members[t.Name] == nil {
			members[t.Name] = &recentPaces{}
		}
		members[t.Name].add(pace, now)
	}
}

// slow reports whether an engine makes its streams slow: all of its last ones were,
// against its group's usual pace, and none of its partners in the newest one can be
// the cause in its place. Where an engine and a partner always work together, both
// are told slow; the next streams, with other partners, show which one it was.
func (p *paces) slow(t *config.Target, stages []*config.Target, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.outlier(t, now) {
		return false
	}
	own, _ := p.fastest(t)
	return !slices.ContainsFunc(stages, func(partner *config.Target) bool {
		return partner.Name != t.Name && p.excuses(partner, own, now)
	})
}

// outlier reports whether all of an engine's last streams were slow against its
// group's usual pace.
func (p *paces) outlier(t *config.Target, now time.Time) bool {
	own, known := p.fastest(t)
	if !known || own < paceFloor {
		return false
	}
	usual, known := usualPace(p.members(groupOf(t)), t.Name, now)
	return known && float64(own) > balance.DefaultSlowFactor*float64(usual)
}

// excuses reports whether a partner may be the cause of a slow stream: it was not
// fast with others either, and nothing that could stand in for it is faster.
func (p *paces) excuses(partner *config.Target, pace time.Duration, now time.Time) bool {
	fastest, known := p.fastest(partner)
	return !known || paceContrast*fastest > pace && !p.outlier(partner, now)
}

// fastest returns the pace of the fastest of an engine's last streams.
func (p *paces) fastest(t *config.Target) (time.Duration, bool) {
	recent := p.members(groupOf(t))[t.Name]
	if recent == nil || len(recent.values) < paceWindow {
		return 0, false
	}
	return slices.Min(recent.values), true
}

func (p *paces) members(g paceGroup) map[string]*recentPaces {
	if p.groups[g] == nil {
		p.groups[g] = map[string]*recentPaces{}
	}
	return p.groups[g]
}

func (r *recentPaces) add(pace time.Duration, now time.Time) {
	if len(r.values) == paceWindow {
		r.values = r.values[1:]
	}
	r.values = append(r.values, pace)
	r.at = now
}

// usualPace is the median of what is usual for each of the other members; members
// that had no stream for long are forgotten.
func usualPace(members map[string]*recentPaces, except string, now time.Time) (time.Duration, bool) {
	var usual []time.Duration
	for name, recent := range members {
		switch {
		case now.Sub(recent.at) > paceKept:
			delete(members, name)
		case name != except && len(recent.values) == paceWindow:
			usual = append(usual, middle(recent.values))
		}
	}
	if len(usual) == 0 {
		return 0, false
	}
	return middle(usual), true
}

// middle returns the lower median.
func middle(values []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[(len(sorted)-1)/2]
}
