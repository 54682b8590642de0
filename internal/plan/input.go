package plan

import (
	"slices"

	"geraniumcroft/internal/config"
)

// Input is what a plan is made from.
type Input struct {
	Model   *config.Model
	Version string
	// Adapter is empty for the base model.
	Adapter string
	// Targets may hold other models, versions and services; they are left out.
	Targets []*config.Target
	// Usable leaves out targets for which it is false; nil takes all.
	Usable func(name string) bool
}

// eligible returns the targets that hold a part of the model, in order of name
// so that the result does not depend on the order of a map.
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
