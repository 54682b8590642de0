package layers

import (
	"fmt"

	"geraniumcroft/internal/config"
)

// testSpec returns a model of 80 layers that does not fit on one of its accelerators.
func testSpec() *Spec {
	return &Spec{
		Layers: 80, LayerMB: 1750, KVBytes: 590000, ActivationBytes: 29500, Slots: 192,
		StepBase: 850e3, StepPerSequence: 3820, StepPerContext: 5120, PrefillTokensPerSecond: 196000, LinkMbps: 11000, LinkDelay: 250e3,
		LoadTime: 14e9, MeanPrompt: 770, MeanAnswer: 174,
		Accelerators: map[string]Accelerator{
			"large": {MemoryMB: 72000, StepTimeFactor: 1.4, PrefillTimeFactor: 1},
			"fast":  {MemoryMB: 36000, StepTimeFactor: 3.1, PrefillTimeFactor: 3.2},
			"slow":  {MemoryMB: 21600, StepTimeFactor: 16, PrefillTimeFactor: 8.2},
			"small": {MemoryMB: 14400, StepTimeFactor: 15, PrefillTimeFactor: 15},
		},
	}
}

// cards returns n replicas of a kind that hold no layers.
func cards(dataCentre, kind string, n int) []Replica {
	var replicas []Replica
	for i := range n {
		name := fmt.Sprintf("%s-%s-%d", dataCentre, kind, i)
		replicas = append(replicas, Replica{ID: name, Address: name, DataCentre: dataCentre, Kind: kind})
	}
	return replicas
}

// threeDataCentres returns replicas in three data centres that can each hold the model.
func threeDataCentres() []Replica {
	var all []Replica
	for _, c := range []struct {
		dataCentre, kind string
		n                int
	}{
		{"a", "large", 1}, {"a", "fast", 1}, {"a", "slow", 5}, {"a", "small", 7},
		{"b", "fast", 1}, {"b", "slow", 8}, {"b", "small", 3},
		{"c", "fast", 2}, {"c", "slow", 4}, {"c", "small", 7},
	} {
		all = append(all, cards(c.dataCentre, c.kind, c.n)...)
	}
	return all
}

// placedTable returns a table whose replicas hold the ranges that Place returns.
func placedTable(spec *Spec, replicas []Replica) *Table {
	table := NewTable()
	table.Update(spec, withRanges(replicas, Place(spec, replicas)))
	return table
}

// withRanges returns the replicas with the ranges of a placement.
func withRanges(replicas []Replica, placed map[string]config.LayerRange) []Replica {
	held := make([]Replica, len(replicas))
	for i, r := range replicas {
		held[i] = r
		if to, ok := placed[r.ID]; ok {
			held[i].Held = to
		}
	}
	return held
}
