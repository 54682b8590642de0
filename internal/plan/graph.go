package plan

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"geraniumcroft/internal/config"
)

const (
	// defaultLayerRate is the rate of a target without a configured one, in layers times tokens
	// per second.
	defaultLayerRate = 10_000.0
	// localLatency and remoteLatency are those of links that are not configured, within a data
	// centre and between two.
	localLatency  = 50 * time.Microsecond
	remoteLatency = 250 * time.Microsecond
)

// graph is the engines that hold a model, and the model's layers cut at the ends of their ranges.
// Between two adjacent cuts every engine holds either all layers or none. Stages that begin and end
// at cuts lose no throughput, except in one case: an engine that does little work and connects two
// engines without a good link between them. refined covers that case too.
type graph struct {
	model   *config.Model
	version string
	adapter string
	// cuts are layers in ascending order, from 0 to the number of layers.
	cuts []int
	// centres gives a data centre's index.
	centres map[string]int
	groups  []*group
	// groupOf gives the index in groups of a target's group.
	groupOf map[string]int
}

func rateOf(target *config.Target) float64 {
	if target.LayerTokensPerSecond > 0 {
		return target.LayerTokensPerSecond
	}
	return defaultLayerRate
}

// newGraph returns the graph of the input's eligible targets, or a *GapError.
func newGraph(in Input) (*graph, error) {
	targets := in.eligible()
	g := &graph{model: in.Model, version: in.Version, adapter: in.Adapter, centres: map[string]int{}, groupOf: map[string]int{}}
	g.cuts = cutsOf(in.Model.Layers, targets)
	for _, target := range targets {
		if _, ok := g.centres[target.DataCentre]; !ok {
			g.centres[target.DataCentre] = len(g.centres)
		}
	}
	g.addGroups(targets)
	g.addEdges()
	if layer, ok := g.uncovered(); ok {
		return nil, &GapError{Model: in.Model.Name, Version: in.Version, Adapter: in.Adapter, Layer: layer}
	}
	return g, nil
}

func cutsOf(layers int, targets []*config.Target) []int {
	cuts := []int{0, layers}
	for _, target := range targets {
		cuts = append(cuts, target.Layers.From, target.Layers.To)
	}
	slices.Sort(cuts)
	return slices.Compact(cuts)
}

func (g *graph) addGroups(targets []*config.Target) {
	linkTarget := linkTargets(targets)
	byKey := map[string]int{}
	for _, target := range targets {
		key := groupKey(target, linkTarget[target.Name])
		index, ok := byKey[key]
		if !ok {
			index = len(g.groups)
			byKey[key] = index
			g.groups = append(g.groups, g.newGroup(target, linkTarget[target.Name]))
		}
		g.groups[index].members = append(g.groups[index].members, target)
		g.groupOf[target.Name] = index
	}
}

func (g *graph) newGroup(target *config.Target, linkTarget bool) *group {
	from, _ := slices.BinarySearch(g.cuts, target.Layers.From)
	to, _ := slices.BinarySearch(g.cuts, target.Layers.To)
	return &group{from: from, to: to, rate: rateOf(target), centre: g.centres[target.DataCentre], linkTarget: linkTarget}
}

// linkTargets returns the names of the targets and data centres that links lead to.
func linkTargets(targets []*config.Target) map[string]bool {
	linkTarget := map[string]bool{}
	for _, target := range targets {
		for _, link := range target.Links {
			linkTarget[link.To] = true
		}
	}
	return linkTarget
}

// groupKey returns a key that is the same for targets of one group. A target that a link names is
// a group of its own.
func groupKey(target *config.Target, linkTarget bool) string {
	if linkTarget {
		return "target " + target.Name
	}
	var key strings.Builder
	fmt.Fprintf(&key, "%d-%d %g %s %s", target.Layers.From, target.Layers.To, rateOf(target), target.DataCentre, target.Accelerator)
	for _, link := range target.Links {
		fmt.Fprintf(&key, " %s %d %g", link.To, link.Latency, link.BytesPerSecond)
	}
	return key.String()
}

func (g *graph) addEdges() {
	for _, grp := range g.groups {
		g.addDefaultEdges(grp)
		for _, link := range grp.members[0].Links {
			g.addLink(grp, link)
		}
	}
}

func (g *graph) addDefaultEdges(grp *group) {
	grp.toCentre = make([]edge, len(g.centres))
	for centre := range grp.toCentre {
		latency := remoteLatency
		if centre == grp.centre {
			latency = localLatency
		}
		grp.toCentre[centre] = edge{latency: latency.Seconds(), capacity: math.Inf(1)}
	}
}

func (g *graph) addLink(grp *group, link config.Link) {
	found := edge{latency: time.Duration(link.Latency).Seconds(), capacity: g.tokensOver(link)}
	if index, ok := g.groupOf[link.To]; ok {
		if grp.toGroup == nil {
			grp.toGroup = map[int]edge{}
		}
		grp.toGroup[index] = found
		return
	}
	if centre, ok := g.centres[link.To]; ok {
		grp.toCentre[centre] = found
	}
}

// tokensOver returns the capacity of a link in tokens per second.
func (g *graph) tokensOver(link config.Link) float64 {
	if link.BytesPerSecond <= 0 || g.model.ActivationBytes <= 0 {
		return math.Inf(1)
	}
	return link.BytesPerSecond / float64(g.model.ActivationBytes)
}

// refined returns a graph of the same groups with a cut between any two layers.
func (g *graph) refined() *graph {
	fine := *g
	fine.cuts = make([]int, g.model.Layers+1)
	for cut := range fine.cuts {
		fine.cuts[cut] = cut
	}
	fine.groups = make([]*group, len(g.groups))
	for i, grp := range g.groups {
		copied := *grp
		copied.from, copied.to = g.cuts[grp.from], g.cuts[grp.to]
		fine.groups[i] = &copied
	}
	return &fine
}

// whole returns the span of all layers.
func (g *graph) whole() span {
	return span{from: 0, to: len(g.cuts) - 1, before: noGroup, after: noGroup}
}

func (g *graph) memberCount(index int) int { return len(g.groups[index].members) }

// segmentLayers returns the number of layers between a cut and the next one.
func (g *graph) segmentLayers(cut int) int { return g.cuts[cut+1] - g.cuts[cut] }

// uncovered returns the first layer that no group holds.
func (g *graph) uncovered() (layer int, ok bool) {
	for cut := 0; cut+1 < len(g.cuts); cut++ {
		if !slices.ContainsFunc(g.groups, func(grp *group) bool { return len(grp.members) > 0 && grp.covers(cut) }) {
			return g.cuts[cut], true
		}
	}
	return 0, false
}
