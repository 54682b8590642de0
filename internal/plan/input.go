package plan

import (
	"slices"

	"geraniumcroft/internal/config"
)

// Input is the input of Compute.
type Input struct {
	Model   *config.Model
	Version string
	// Adapter is empty for the base model.
	Adapter string
	// Targets may include targets of other models, versions and services, which are ignored.
	Targets []*config.Target
	// Usable reports whether a target may be used; nil stands for all.
	Usable func(name string) bool
}

// eligible returns the targets that hold a part of the model, sorted by name so that the result
// does not depend on the order of a map.
func (in Input) eligible() []*config.Target {
	var kept []*config.Target
	for _, target := range in.Targets {
		if in.holds(target) {
			kept = append(kept, target)
		}
	}
	slices.SortFunc(kept, func(a, b *config.Target) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return kept
}

// holds reports whether the target is a usable engine that holds a part of the model, and the
// adapter if there is one.
func (in Input) holds(target *config.Target) bool {
	if target.Kind != config.KindEngine || !target.TakesWork() {
		return false
	}
	if target.Model != in.Model.Name || target.Version != in.Version {
		return false
	}
	if in.Adapter != "" && !slices.Contains(target.Adapters, in.Adapter) {
		return false
	}
	if target.Layers.Len() <= 0 || target.Layers.From < 0 || target.Layers.To > in.Model.Layers {
		return false
	}
	return in.Usable == nil || in.Usable(target.Name)
}
