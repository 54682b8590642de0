package plan

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"geraniumcroft/internal/config"
)

func compute(t rapid.TB, in Input) *Set {
	t.Helper()
	set, err := Compute(in)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

func drawNames(t *rapid.T, in Input, label string) map[string]bool {
	names := map[string]bool{}
	for _, target := range in.Targets {
		if rapid.IntRange(0, 2).Draw(t, label) == 0 {
			names[target.Name] = true
		}
	}
	return names
}

// covers reports whether free targets can cover the layers, by always extending to the furthest
// layer.
func covers(in Input, layers config.LayerRange, free func(string) bool) bool {
	for next := layers.From; next < layers.To; {
		reach := next
		for _, target := range in.Targets {
			if free(target.Name) && target.Layers.From <= next {
				reach = max(reach, target.Layers.To)
			}
		}
		if reach == next {
			return false
		}
		next = reach
	}
	return true
}

// A caller is refused if no plan is found, so Choose must find one whenever the targets with free
// slots hold all layers, and must never use any other target.
func TestChooseFindsAPlanWheneverOneExists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t, rapid.IntRange(1, 16).Draw(t, "layers"), rapid.IntRange(0, 12).Draw(t, "targets"))
		chooser := NewChooser(compute(t, in), 1)
		for range 5 {
			busy, exclude := drawNames(t, in, "busy"), drawNames(t, in, "exclude")
			usable := func(name string) bool { return !busy[name] }
			chosen, ok := chooser.Choose(Query{Urgency: config.Normal, Usable: usable, Exclude: exclude})
			free := func(name string) bool { return usable(name) && !exclude[name] }
			if possible := covers(in, config.LayerRange{To: in.Model.Layers}, free); ok != possible {
				t.Fatalf("chose %v, a plan exists: %v", ok, possible)
			}
			if ok {
				checkFree(t, in, chosen, free)
			}
		}
	})
}

func checkFree(t rapid.TB, in Input, chosen Plan, free func(string) bool) {
	t.Helper()
	if err := chosen.Check(in.Model.Layers); err != nil {
		t.Fatalf("%v: %v", chosen, err)
	}
	for _, stage := range chosen.Stages {
		if !free(stage.Target.Name) {
			t.Fatalf("%s is not free", stage.Target.Name)
		}
	}
}

// The engines of one path are busy for long. Guards against a burst once they are free: if all
// following requests went to that path, its engines would be full at once and the others idle.
func TestPathThatWasBusyGetsNoBurst(t *testing.T) {
	in := Input{Model: &config.Model{Name: "m", Layers: 10}, Version: "1"}
	for i, dataCentre := range []string{"x", "y", "z", "w"} {
		in.Targets = append(in.Targets, engineTarget(fmt.Sprintf("t%d", i), dataCentre, 0, 10, 100))
	}
	chooser := NewChooser(compute(t, in), 1)
	for range 1000 {
		chooser.Choose(Query{Urgency: config.Bulk, Usable: func(name string) bool { return name != "t0" }})
	}
	got := 0
	for range 16 {
		if chosen, _ := chooser.Choose(Query{Urgency: config.Bulk, Usable: always}); chosen.Uses("t0") {
			got++
		}
	}
	if got < 3 || got > 6 {
		t.Errorf("the path that was busy got %d of 16 requests", got)
	}
}

// If engines get more or less than their share, the whole pool waits for the one that is
// overloaded. All VMs have the same set: if they chose the same plans in the same order, the first
// requests after a change would all go to a few engines.
func TestChooseSpreadsByWeightAndDiffersByVM(t *testing.T) {
	in := mixedInput(60, 3, 1)
	set := compute(t, in)
	want := map[string]float64{}
	for _, plan := range set.Plans {
		for _, stage := range plan.Stages {
			want[stage.Target.Name] += plan.Weight / set.Throughput()
		}
	}
	const choices = 20_000
	got := map[string]float64{}
	chooser := NewChooser(set, 1)
	for range choices {
		chosen, _ := chooser.Choose(Query{Urgency: config.Bulk, Usable: always})
		for _, stage := range chosen.Stages {
			got[stage.Target.Name] += 1.0 / choices
		}
	}
	for name, share := range want {
		if math.Abs(got[name]-share) > 0.01 {
			t.Errorf("%s got a share of %.4f instead of %.4f", name, got[name], share)
		}
	}
	first := map[string]bool{}
	for seed := range uint64(6) {
		chosen, _ := NewChooser(set, seed).Choose(Query{Urgency: config.Bulk, Usable: always})
		first[fmt.Sprint(chosen.Stages)] = true
	}
	if len(first) < 4 {
		t.Errorf("6 VMs began with only %d plans", len(first))
	}
}

// A request whose prompt is cached at one of several equal engines is sent there while that engine
// has capacity, and otherwise to another one: a preference never makes a request wait.
func TestPreferredTargetIsChosenWhileItHasRoom(t *testing.T) {
	model := &config.Model{Name: "m", Layers: 4, Versions: []string{"1"}}
	var targets []*config.Target
	for _, name := range []string{"a", "b", "c"} {
		targets = append(targets, &config.Target{
			Name: name, Kind: config.KindEngine, Model: "m", Version: "1", Layers: config.LayerRange{From: 0, To: 4},
			LayerTokensPerSecond: 100, Slots: 2, State: config.StateActive,
		})
	}
	set, err := Compute(Input{Model: model, Version: "1", Targets: targets})
	if err != nil {
		t.Fatal(err)
	}
	chooser := NewChooser(set, 1)
	prefer := map[string]bool{"b": true}
	for range 5 {
		chosen, _ := chooser.Choose(Query{Usable: always, Prefer: prefer})
		if !chosen.Uses("b") {
			t.Errorf("went to %s", chosen.Stages[0].Target.Name)
		}
	}
	full := func(name string) bool { return name != "b" }
	if chosen, ok := chooser.Choose(Query{Usable: full, Prefer: prefer}); !ok || chosen.Uses("b") {
		t.Errorf("with b full: %t, %+v", ok, chosen)
	}
}
