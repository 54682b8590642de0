package plan

import (
	"testing"

	"pgregory.net/rapid"

	"geraniumcroft/internal/config"
)

// A stage dies in the middle of a draft. The other stages hold KV cache of the draft. Guards
// against moving them although other targets can serve the lost layers: the whole prompt would be
// replayed while the caller waits.
func TestRepairKeepsRemainingStages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t, rapid.IntRange(1, 16).Draw(t, "layers"), rapid.IntRange(0, 12).Draw(t, "targets"))
		chooser := NewChooser(compute(t, in), 1)
		current, _ := chooser.Choose(Query{Urgency: config.Normal, Usable: always})
		busy := drawNames(t, in, "busy")
		failed := map[string]bool{}
		for range rapid.IntRange(1, 2).Draw(t, "deaths") {
			failed[rapid.SampledFrom(current.Stages).Draw(t, "dead").Target.Name] = true
		}
		usable := func(name string) bool { return !busy[name] }
		repaired, ok := chooser.Repair(current, failed, usable)
		free := func(name string) bool { return !failed[name] && (current.Uses(name) || usable(name)) }
		if ok != covers(in, config.LayerRange{To: in.Model.Layers}, free) {
			t.Fatalf("repaired %v", ok)
		}
		if !ok {
			return
		}
		checkFree(t, in, repaired, free)
		if len(failed) == 1 { // with two failures, both may need the same spare target
			checkKept(t, in, current, repaired, failed, usable)
		}
	})
}

// checkKept checks that all remaining stages are kept if spare targets can cover each failed one.
func checkKept(t rapid.TB, in Input, current, repaired Plan, failed map[string]bool, usable func(string) bool) {
	t.Helper()
	spare := func(name string) bool { return !failed[name] && !current.Uses(name) && usable(name) }
	kept := map[Stage]bool{}
	for _, stage := range repaired.Stages {
		kept[stage] = true
	}
	for _, stage := range current.Stages {
		if failed[stage.Target.Name] && !covers(in, stage.Layers, spare) {
			return
		}
	}
	for _, stage := range current.Stages {
		if !failed[stage.Target.Name] && !kept[stage] {
			t.Fatalf("%v was moved: %v, then %v", stage, current, repaired)
		}
	}
}

// A plan that was cut within the engines' ranges, as by Compute where links limit the throughput,
// is repaired at that cut: the remaining stage keeps exactly its layers.
func TestRepairOfAPlanCutWithinRanges(t *testing.T) {
	in := Input{Model: &config.Model{Name: "m", Layers: 10}, Version: "1", Targets: []*config.Target{
		engineTarget("a", "x", 0, 7, 100), engineTarget("b", "x", 3, 10, 100), engineTarget("c", "x", 3, 10, 100),
	}}
	chooser := NewChooser(compute(t, in), 1)
	current := Plan{Stages: []Stage{
		{Target: in.Targets[0], Layers: config.LayerRange{From: 0, To: 5}},
		{Target: in.Targets[1], Layers: config.LayerRange{From: 5, To: 10}},
	}}
	repaired, ok := chooser.Repair(current, map[string]bool{"b": true}, always)
	if !ok || repaired.Check(10) != nil || repaired.Stages[0] != current.Stages[0] || !repaired.Uses("c") {
		t.Errorf("repaired to %v, %v", repaired, ok)
	}
}
