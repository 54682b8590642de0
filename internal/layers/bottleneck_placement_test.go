package layers

import (
	"math"
	"testing"

	"geraniumcroft/internal/config"
)

// leastCapacity returns the capacity, in mean requests, of the layer that has the least in a data centre.
func leastCapacity(spec *Spec, replicas []Replica, dataCentre string) float64 {
	c := newCoverage(spec)
	for _, r := range replicas {
		if r.DataCentre == dataCentre {
			c.add(spec.kind(r.Kind), r.Held, 1)
		}
	}
	least := math.Inf(1)
	for _, capacity := range c.capacity {
		least = min(least, capacity)
	}
	return least
}

// unevenDataCentres returns cards of three kinds, differently spread over three data centres.
func unevenDataCentres() []Replica {
	var all []Replica
	for _, c := range []struct {
		dataCentre        string
		large, fast, slow int
	}{{"a", 4, 6, 14}, {"b", 2, 9, 22}, {"c", 2, 15, 12}} {
		all = append(all, cards(c.dataCentre, "large", c.large)...)
		all = append(all, cards(c.dataCentre, "fast", c.fast)...)
		all = append(all, cards(c.dataCentre, "slow", c.slow)...)
	}
	return all
}

// unevenSpec returns a model whose cards differ seven times in the time of a step.
func unevenSpec() *Spec {
	spec := testSpec()
	spec.Accelerators = map[string]Accelerator{
		"large": {MemoryMB: 72000, StepTimeFactor: 2.4, PrefillTimeFactor: 3.2},
		"fast":  {MemoryMB: 43200, StepTimeFactor: 5.6, PrefillTimeFactor: 2.7},
		"slow":  {MemoryMB: 21600, StepTimeFactor: 16, PrefillTimeFactor: 8.2},
	}
	return spec
}

// Guards against cards that narrow after the first layout and leave the layers next to theirs with half
// of the capacity: every request passes through these too.
func TestRebalancingDoesNotLowerTheLeastCapacity(t *testing.T) {
	spec := unevenSpec()
	spec.PlaceForBottleneck = true
	replicas := unevenDataCentres()
	replicas = withRanges(replicas, Place(spec, replicas))
	before := map[string]float64{}
	for _, dataCentre := range []string{"a", "b", "c"} {
		before[dataCentre] = leastCapacity(spec, replicas, dataCentre)
	}
	for range 6 {
		replicas = withRanges(replicas, Place(spec, replicas))
	}
	for dataCentre, capacity := range before {
		if after := leastCapacity(spec, replicas, dataCentre); after < capacity {
			t.Errorf("data centre %s: capacity for %.0f requests, %.0f after rebalancing", dataCentre, capacity, after)
		}
	}
}

// Guards against cards next to lost ones that do not widen because a few layers hardly count among 80.
func TestLostCapacityOfAFewLayersIsReplaced(t *testing.T) {
	spec := unevenSpec()
	spec.PlaceForBottleneck = true
	replicas := unevenDataCentres()
	replicas = withRanges(replicas, Place(spec, replicas))
	var left []Replica
	lost := 0
	for _, r := range replicas {
		if r.DataCentre == "c" && r.Kind == "fast" && r.Held.Contains(config.LayerRange{From: 20, To: 21}) {
			lost++
			continue
		}
		left = append(left, r)
	}
	before := leastCapacity(spec, left, "c")
	for range 6 {
		left = withRanges(left, Place(spec, left))
	}
	if after := leastCapacity(spec, left, "c"); after <= before {
		t.Errorf("%d cards lost: capacity for %.0f requests, %.0f after rebalancing", lost, before, after)
	}
}
