package plan

import (
	"testing"

	"pgregory.net/rapid"

	"geraniumcroft/internal/config"
)

// A target dies and the next Compute has not finished. The set without the target must not exceed
// what the rest can carry, and its bound must be an upper bound.
func TestWithoutRespectsRemainingLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t, rapid.IntRange(1, 16).Draw(t, "layers"), rapid.IntRange(2, 20).Draw(t, "targets"))
		dead := rapid.SampledFrom(in.Targets).Draw(t, "dead").Name
		next, err := compute(t, in).Without(map[string]bool{dead: true})
		in.Usable = func(name string) bool { return name != dead }
		recomputed, recomputedErr := Compute(in)
		if (err == nil) != (recomputedErr == nil) {
			t.Fatalf("%v, but anew %v", err, recomputedErr)
		}
		if err != nil {
			return
		}
		checkSet(t, in, next.Expanded())
		if next.Bound < recomputed.Throughput()*(1-relTolerance) {
			t.Fatalf("bound %g, but plans computed anew reach %g", next.Bound, recomputed.Throughput())
		}
	})
}

// The bound of a set without a target is proved with the old set's prices, so these must hold for
// paths cut anywhere. Guards against prices from the first search, which cuts only at the ends of
// ranges: the dump then showed a bound that plans exceeded.
func TestWithoutProvesItsBoundForPathsCutAnywhere(t *testing.T) {
	link := func(target *config.Target, to string, bytes float64) *config.Target {
		target.Links = []config.Link{{To: to, BytesPerSecond: bytes}}
		return target
	}
	in := Input{Model: &config.Model{Name: "m", Layers: 6, ActivationBytes: 1000}, Version: "1", Targets: []*config.Target{
		link(engineTarget("t00", "dc0", 1, 6, 1000), "t00", 1e3),
		link(engineTarget("t01", "dc1", 1, 3, 100), "t01", 1e3),
		engineTarget("t02", "dc0", 0, 1, 100),
		link(engineTarget("t03", "dc0", 0, 5, 300), "dc0", 1e5),
		link(engineTarget("t04", "dc0", 5, 6, 100), "t00", 1e3),
	}}
	next, err := compute(t, in).Without(map[string]bool{"t02": true})
	if err != nil {
		t.Fatal(err)
	}
	checkSet(t, in, next.Expanded())
}
