package router

import (
	"maps"
	"slices"
	"sync"
	"time"

	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/config"
)

const (
	// slowWindow is the number of consecutive streams of an engine that must be slow. A
	// stream is as slow as its slowest stage, so some streams of a good engine are slow
	// because of another stage, but rarely several in a row.
	slowWindow = 4
	// partnerFactor is how many times faster another stage's engine must have been in other
	// streams, so that it cannot be the cause of a slow one. An engine that is slow in all its
	// streams may be the cause itself, for example if all streams of a full pool wait for it.
	partnerFactor = 2
	// minSlowGap is the gap between tokens below which no stream counts as slow.
	minSlowGap = 10 * time.Millisecond
	// gapTTL is how long the gaps of an engine without new streams are used for comparison.
	gapTTL = time.Minute
)

// slowDetector finds engines that respond, but much slower than the engines that can replace
// them. Such an engine does not fail streams, so it would keep its share of them, and each of
// its callers would wait many times as long as the others. It is safe for concurrent use.
type slowDetector struct {
	mu     sync.Mutex // guards the field below
	groups map[comparableGroup]map[string]*recentGaps
}

// comparableGroup identifies engines whose gaps can be compared.
type comparableGroup struct {
	model, version, accelerator string
	layers                      config.LayerRange
	rate                        float64
}

func groupOf(t *config.Target) comparableGroup {
	return comparableGroup{model: t.Model, version: t.Version, accelerator: t.Accelerator, layers: t.Layers, rate: t.LayerTokensPerSecond}
}

// recentGaps has the mean gaps of an engine's last streams.
type recentGaps struct {
	values    []time.Duration
	lastAdded time.Time
}

func newSlowDetector() *slowDetector {
	return &slowDetector{groups: map[comparableGroup]map[string]*recentGaps{}}
}

// add records the mean gap of a stream over the engines of these stages.
func (d *slowDetector) add(stages []*config.Target, gap time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range stages {
		group := groupOf(t)
		if d.groups[group] == nil {
			d.dropOldGroups(now)
			d.groups[group] = map[string]*recentGaps{}
		}
		members := d.groups[group]
		if members[t.Name] == nil {
			members[t.Name] = &recentGaps{}
		}
		members[t.Name].add(gap, now)
	}
}

// dropOldGroups removes the groups whose engines had no stream for gapTTL. Each change of a model's version
// begins a new group.
func (d *slowDetector) dropOldGroups(now time.Time) {
	for group, members := range d.groups {
		maps.DeleteFunc(members, func(_ string, recent *recentGaps) bool { return now.Sub(recent.lastAdded) > gapTTL })
		if len(members) == 0 {
			delete(d.groups, group)
		}
	}
}

// isSlow reports whether an engine makes its streams slow. That is the case if all of its
// last streams were slow compared with the typical gap of its group, and no other engine of
// the newest stream may be the cause. If two engines always work together, both are
// reported as slow. Their next streams, with other engines, show which one was the cause.
func (d *slowDetector) isSlow(t *config.Target, stages []*config.Target, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.isOutlier(t, now) {
		return false
	}
	own, _ := d.minGap(t)
	return !slices.ContainsFunc(stages, func(partner *config.Target) bool {
		return partner.Name != t.Name && d.mayBeCause(partner, own, now)
	})
}

// isOutlier reports whether all of an engine's last streams were slow compared with the
// typical gap of its group.
func (d *slowDetector) isOutlier(t *config.Target, now time.Time) bool {
	own, known := d.minGap(t)
	if !known || own < minSlowGap {
		return false
	}
	typical, known := typicalGap(d.groups[groupOf(t)], t.Name, now)
	return known && float64(own) > balance.DefaultSlowFactor*float64(typical)
}

// mayBeCause reports whether a partner, the engine of another stage, may be the cause of a
// slow stream. It may be if too few of its streams are known. Otherwise it may be if it was
// not much faster in its other streams, and is not itself an outlier in its group.
func (d *slowDetector) mayBeCause(partner *config.Target, gap time.Duration, now time.Time) bool {
	minGap, known := d.minGap(partner)
	return !known || partnerFactor*minGap > gap && !d.isOutlier(partner, now)
}

// minGap returns the mean gap of the fastest of an engine's last streams. It returns false
// if there are fewer than slowWindow.
func (d *slowDetector) minGap(t *config.Target) (time.Duration, bool) {
	recent := d.groups[groupOf(t)][t.Name]
	if recent == nil || len(recent.values) < slowWindow {
		return 0, false
	}
	return slices.Min(recent.values), true
}

func (r *recentGaps) add(gap time.Duration, now time.Time) {
	if len(r.values) == slowWindow {
		r.values = r.values[1:]
	}
	r.values = append(r.values, gap)
	r.lastAdded = now
}

// typicalGap returns the median over the other members of the median of each one's last
// streams. It removes members that had no stream for gapTTL.
func typicalGap(members map[string]*recentGaps, except string, now time.Time) (time.Duration, bool) {
	var typical []time.Duration
	for name, recent := range members {
		switch {
		case now.Sub(recent.lastAdded) > gapTTL:
			delete(members, name)
		case name != except && len(recent.values) == slowWindow:
			typical = append(typical, lowerMedian(recent.values))
		}
	}
	if len(typical) == 0 {
		return 0, false
	}
	return lowerMedian(typical), true
}

// lowerMedian returns the lower median of the values.
func lowerMedian(values []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[(len(sorted)-1)/2]
}
