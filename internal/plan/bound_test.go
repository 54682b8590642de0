package plan

import (
	"math"
	"testing"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
	"pgregory.net/rapid"

	"geraniumcroft/internal/config"
)

// relTolerance is the relative tolerance for rounding errors.
const relTolerance = 1e-6

// limitKey names an engine's rate (if to is empty) or one of its links.
type limitKey struct{ target, to string }

// linkOf returns the link that a hop uses, independently of the code under test.
func linkOf(from, to *config.Target) (config.Link, bool) {
	for _, link := range from.Links {
		if link.To == to.Name {
			return link, true
		}
	}
	for i := len(from.Links) - 1; i >= 0; i-- {
		if from.Links[i].To == to.DataCentre {
			return from.Links[i], true
		}
	}
	return config.Link{}, false
}

// addLoads adds what the stages use of each limit at a weight.
func addLoads(loads map[limitKey]float64, stages []Stage, weight float64) {
	for i, stage := range stages {
		loads[limitKey{stage.Target.Name, ""}] += weight * float64(stage.Layers.Len())
		if i == 0 {
			continue
		}
		before := stages[i-1].Target
		if link, ok := linkOf(before, stage.Target); ok && link.BytesPerSecond > 0 {
			loads[limitKey{before.Name, link.To}] += weight
		}
	}
}

func limitsOf(in Input) map[limitKey]float64 {
	limits := map[limitKey]float64{}
	for _, target := range in.Targets {
		limits[limitKey{target.Name, ""}] = target.LayerTokensPerSecond
		for _, link := range target.Links {
			if link.BytesPerSecond > 0 {
				limits[limitKey{target.Name, link.To}] = link.BytesPerSecond / float64(in.Model.ActivationBytes)
			}
		}
	}
	return limits
}

// checkSet checks that the set's plans cover the model, respect the limits, and that their weights
// sum to the throughput and do not exceed the bound.
func checkSet(t rapid.TB, in Input, set *Set) {
	t.Helper()
	loads := map[limitKey]float64{}
	weights := 0.0
	for _, plan := range set.Plans {
		weights += plan.Weight
		if err := plan.Check(in.Model.Layers); err != nil {
			t.Fatalf("%v: %v", plan, err)
		}
		addLoads(loads, plan.Stages, plan.Weight)
	}
	limits := limitsOf(in)
	for key, load := range loads {
		if load > limits[key]*(1+relTolerance) {
			t.Fatalf("%v carries %g of %g", key, load, limits[key])
		}
	}
	if math.Abs(weights-set.Throughput()) > relTolerance*weights {
		t.Fatalf("weights sum to %g, not to %g", weights, set.Throughput())
	}
	if set.Throughput() > set.Bound*(1+relTolerance) {
		t.Fatalf("weights sum to %g above the bound %g", set.Throughput(), set.Bound)
	}
}

// The dump shows operators how near the plans come to what the hardware allows. Guards against
// plans that overload an engine or a link, whose throughput could not be reached, and against a
// bound that is too low, which would hide lost throughput.
func TestPlansRespectLimitsAndBound(t *testing.T) {
	var ratios []float64
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t, rapid.IntRange(1, 24).Draw(t, "layers"), rapid.IntRange(0, 20).Draw(t, "targets"))
		set, err := Compute(in)
		if err != nil {
			t.Fatal(err)
		}
		checkSet(t, in, set)
		ratios = append(ratios, set.Throughput()/set.Bound)
	})
	reportRatios(t, "weights against the bound", ratios)
}

// On a typical graph, with several engines of each kind, the weights must reach the bound. Guards
// against lost throughput.
func TestMixedGraphsReachTheBound(t *testing.T) {
	for seed := range uint64(5) {
		for _, targets := range []int{43, 120} {
			in := mixedInput(targets, 3, seed)
			set := compute(t, in)
			checkSet(t, in, set)
			if share := set.Throughput() / set.Bound; share < 0.99 {
				t.Errorf("seed %d, %d targets: %.4f of the bound", seed, targets, share)
			}
		}
	}
}

// reportRatios logs the distribution and returns the share of ratios below 0.99.
func reportRatios(t *testing.T, what string, ratios []float64) float64 {
	t.Helper()
	least, below := math.Inf(1), 0
	for _, ratio := range ratios {
		least = min(least, ratio)
		if ratio < 0.99 {
			below++
		}
	}
	t.Logf("%s on %d graphs: least %.4f, %d below 0.99", what, len(ratios), least, below)
	return float64(below) / float64(len(ratios))
}

// allPaths calls found with every list of stages that covers the layers, cut anywhere, with each
// target at most once.
func allPaths(in Input, stages []Stage, next int, found func([]Stage)) {
	if next == in.Model.Layers {
		found(append([]Stage(nil), stages...))
		return
	}
	for _, target := range in.Targets {
		if target.Layers.From > next || target.Layers.To <= next || (Plan{Stages: stages}).Uses(target.Name) {
			continue
		}
		for to := next + 1; to <= target.Layers.To; to++ {
			stage := Stage{Target: target, Layers: config.LayerRange{From: next, To: to}}
			allPaths(in, append(stages, stage), to, found)
		}
	}
}

// optimum solves the linear program over all paths with gonum.
func optimum(t rapid.TB, in Input) float64 {
	var paths [][]Stage
	allPaths(in, nil, 0, func(stages []Stage) { paths = append(paths, stages) })
	limits := limitsOf(in)
	rowOf := map[limitKey]int{}
	var rhs []float64
	for key, limit := range limits {
		rowOf[key] = len(rhs)
		rhs = append(rhs, limit)
	}
	matrix := mat.NewDense(len(rhs), len(paths)+len(rhs), nil)
	objective := make([]float64, len(paths)+len(rhs))
	for column, stages := range paths {
		objective[column] = -1
		loads := map[limitKey]float64{}
		addLoads(loads, stages, 1)
		for key, load := range loads {
			matrix.Set(rowOf[key], column, load)
		}
	}
	basis := make([]int, len(rhs))
	for row := range rhs {
		matrix.Set(row, len(paths)+row, 1)
		basis[row] = len(paths) + row
	}
	value, _, err := lp.Simplex(objective, matrix, rhs, 1e-10, basis)
	if err != nil {
		t.Skipf("gonum: %v", err)
	}
	return -value
}

// The bound is compared with the optimum of a linear program over all paths, cut between any two
// layers, as solved by another library. The bound must not be below that optimum, and the weights
// must come near to it.
func TestBoundMatchesExhaustiveLinearProgram(t *testing.T) {
	var loose, reached []float64
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t, rapid.IntRange(1, 5).Draw(t, "layers"), rapid.IntRange(0, 3).Draw(t, "targets"))
		set, err := Compute(in)
		if err != nil {
			t.Fatal(err)
		}
		best := optimum(t, in)
		if set.Bound < best*(1-1e-5) {
			t.Fatalf("bound %g is below the optimum %g", set.Bound, best)
		}
		loose = append(loose, best/set.Bound)
		reached = append(reached, set.Throughput()/best)
	})
	reportRatios(t, "optimum against the bound", loose)
	if below := reportRatios(t, "weights against the optimum", reached); below > 0.1 {
		t.Errorf("%.2f of the graphs stay more than 1 in 100 below the optimum", below)
	}
}
