package plan

import (
	"math/rand/v2"
	"slices"
	"testing"

	"geraniumcroft/internal/config"
)

// simulateSaturation keeps as many requests running as slots allow and returns their mean
// throughput in tokens per second, with each engine and link shared max-min fairly.
func simulateSaturation(in Input, slotsPer float64, steps int, choose func(usable func(string) bool) (Plan, bool)) float64 {
	random := rand.New(rand.NewPCG(7, 7))
	inFlight := map[string]int{}
	slots := map[string]int{}
	for _, target := range in.Targets {
		slots[target.Name] = max(2, int(slotsPer*target.LayerTokensPerSecond/20_000))
	}
	usable := func(name string) bool { return inFlight[name] < slots[name] }
	var running []Plan
	total, samples := 0.0, 0
	limits := limitsOf(in)
	for step := range steps {
		for {
			chosen, ok := choose(usable)
			if !ok {
				break
			}
			for _, stage := range chosen.Stages {
				inFlight[stage.Target.Name]++
			}
			running = append(running, chosen)
		}
		if step > steps/4 && step%50 == 0 {
			total += maxMinThroughput(limits, running)
			samples++
		}
		ended := random.IntN(len(running))
		for _, stage := range running[ended].Stages {
			inFlight[stage.Target.Name]--
		}
		running[ended] = running[len(running)-1]
		running = running[:len(running)-1]
	}
	return total / float64(samples)
}

// maxMinThroughput returns the total throughput of the running plans under max-min fair sharing of
// the limits.
func maxMinThroughput(limits map[limitKey]float64, running []Plan) float64 {
	type part struct {
		key    limitKey
		amount float64
	}
	parts := make([][]part, len(running))
	left := map[limitKey]float64{}
	demand := map[limitKey]float64{}
	for i, plan := range running {
		loads := map[limitKey]float64{}
		addLoads(loads, plan.Stages, 1)
		for key, amount := range loads {
			parts[i] = append(parts[i], part{key, amount})
			demand[key] += amount
			left[key] = limits[key]
		}
	}
	frozen := make([]bool, len(running))
	rate, total := 0.0, 0.0
	for remaining := len(running); remaining > 0; {
		step := 1e18
		for key, amount := range demand {
			if amount > 1e-9 {
				step = min(step, left[key]/amount)
			}
		}
		rate += step
		for key, amount := range demand {
			left[key] -= step * amount
		}
		for i := range running {
			if frozen[i] {
				continue
			}
			for _, p := range parts[i] {
				if left[p.key] <= 1e-6*limits[p.key] {
					frozen[i] = true
				}
			}
			if frozen[i] {
				remaining--
				total += rate
				for _, p := range parts[i] {
					demand[p.key] -= p.amount
				}
			}
		}
	}
	return total
}

// A pool is full of drafts and more wait. Guards against a mix that drifts from the weights: if
// each waiting request took any path that fits at the moment, the pool would make fewer tokens than
// it can.
func TestFullPoolFollowsTheWeights(t *testing.T) {
	for seed := range uint64(2) {
		in := mixedInput(30, 3, seed)
		set := compute(t, in)
		share := func(eligible func(string) bool) float64 {
			chooser := NewChooser(set, 1)
			chooser.SetEligible(eligible)
			return simulateSaturation(in, 8, 400, func(usable func(string) bool) (Plan, bool) {
				return chooser.Choose(Query{Urgency: config.Bulk, Usable: usable})
			}) / set.Bound
		}
		waiting, anyPath := share(always), share(nil)
		t.Logf("seed %d: %.3f of the bound, %.3f with any path", seed, waiting, anyPath)
		if waiting < 0.85 || waiting < anyPath {
			t.Errorf("seed %d: %.3f of the bound, %.3f with any path", seed, waiting, anyPath)
		}
	}
}

// No weighted path has eligible engines, but another engine holds the layers. Guards against a
// request that waits for paths that will not become free: it gets an unweighted one at once.
func TestRequestDoesNotWaitForUnavailablePaths(t *testing.T) {
	in := mixedInput(60, 3, 1)
	spare := engineTarget("spare", "dc0", 0, in.Model.Layers, 1)
	in.Targets = append(in.Targets, spare)
	chooser := NewChooser(compute(t, in), 1)
	chooser.paths = slices.DeleteFunc(chooser.paths, func(p weightedPath) bool { return len(p.legs) == 1 })
	alone := func(name string) bool { return name == "spare" }
	chooser.SetEligible(always)
	if _, ok := chooser.Choose(Query{Urgency: config.Bulk, Usable: alone}); ok {
		t.Error("bulk took an unweighted path while weighted ones are eligible")
	}
	if _, ok := chooser.Choose(Query{Urgency: config.Urgent, Usable: alone}); !ok {
		t.Error("urgent waited")
	}
	chooser.SetEligible(alone)
	if _, ok := chooser.Choose(Query{Urgency: config.Bulk, Usable: alone}); !ok {
		t.Error("bulk waits for paths without eligible engines")
	}
}
