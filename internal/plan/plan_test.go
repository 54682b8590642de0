package plan

import (
	"testing"

	"geraniumcroft/internal/config"
)

func engineTarget(name, dataCentre string, from, to int, rate float64) *config.Target {
	return &config.Target{
		Name: name, DataCentre: dataCentre, Kind: config.KindEngine, Model: "m", Version: "1",
		Layers: config.LayerRange{From: from, To: to}, LayerTokensPerSecond: rate, Slots: 4, State: config.StateActive,
	}
}

func always(string) bool { return true }

func TestChoosePlansOverPartsOfRanges(t *testing.T) {
	in := Input{Model: &config.Model{Name: "m", Layers: 10}, Version: "1", Targets: []*config.Target{
		engineTarget("a", "x", 0, 6, 100), engineTarget("b", "x", 4, 10, 100), engineTarget("c", "x", 4, 10, 100),
	}}
	set, err := Compute(in)
	if err != nil {
		t.Fatal(err)
	}
	chooser := NewChooser(set, 1)
	for range 20 {
		chosen, ok := chooser.Choose(config.Bulk, always, nil)
		if !ok {
			t.Fatal("no plan")
		}
		if err := chosen.Check(10); err != nil {
			t.Fatal(err)
		}
		repaired, ok := chooser.Repair(chosen, map[string]bool{chosen.Stages[1].Target.Name: true}, always)
		if !ok || repaired.Stages[0] != chosen.Stages[0] {
			t.Fatalf("stage 0 of %v was not kept: %v", chosen, repaired)
		}
		if err := repaired.Check(10); err != nil {
			t.Fatal(err)
		}
	}
}
