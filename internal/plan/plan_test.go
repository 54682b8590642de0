package plan

import (
	"errors"
	"testing"

	"geraniumcroft/internal/config"
)

func TestCheckRejectsInvalidCoverage(t *testing.T) {
	a, b := engineTarget("a", "x", 0, 6, 1), engineTarget("b", "x", 4, 10, 1)
	stage := func(target *config.Target, from, to int) Stage {
		return Stage{Target: target, Layers: config.LayerRange{From: from, To: to}}
	}
	for name, test := range map[string]struct {
		stages []Stage
		whole  bool
	}{
		"whole":          {[]Stage{stage(a, 0, 5), stage(b, 5, 10)}, true},
		"overlap":        {[]Stage{stage(a, 0, 6), stage(b, 4, 10)}, false},
		"gap":            {[]Stage{stage(a, 0, 4), stage(b, 5, 10)}, false},
		"cut off":        {[]Stage{stage(a, 0, 5), stage(b, 5, 9)}, false},
		"not held":       {[]Stage{stage(a, 0, 7), stage(b, 7, 10)}, false},
		"out of order":   {[]Stage{stage(b, 5, 10), stage(a, 0, 5)}, false},
		"twice a target": {[]Stage{stage(a, 0, 3), stage(a, 3, 5), stage(b, 5, 10)}, false},
		"empty":          {nil, false},
	} {
		var cover *CoverError
		err := Plan{Stages: test.stages}.Check(10)
		if (err == nil) != test.whole || err != nil && !errors.As(err, &cover) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestComputeExcludesUnsuitableTargets(t *testing.T) {
	draining := engineTarget("draining", "x", 0, 10, 100)
	draining.State = config.StateDraining
	other := engineTarget("other", "x", 0, 10, 100)
	other.Version = "2"
	bare := engineTarget("bare", "x", 0, 10, 100)
	fit := engineTarget("fit", "x", 0, 10, 100)
	fit.Adapters = []string{"notes"}
	in := Input{Model: &config.Model{Name: "m", Layers: 10}, Version: "1", Adapter: "notes", Targets: []*config.Target{draining, other, bare, fit}}
	set := compute(t, in)
	if len(set.Plans) != 1 || !set.Plans[0].Uses("fit") {
		t.Errorf("plans %v", set.Plans)
	}
	in.Usable = func(name string) bool { return name != "fit" }
	var gap *GapError
	if _, err := Compute(in); !errors.As(err, &gap) || gap.Layer != 0 {
		t.Errorf("without the only fit target: %v", err)
	}
}
