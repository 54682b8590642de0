package baseline

import (
	"cmp"
	"slices"

	"geraniumcroft/internal/config"
)

// pipeline returns targets that hold each of the model's layers once and in order. Each
// target is chosen round-robin from those that start where the previous one ends. The
// pipeline is empty if there are no targets for some layer.
func (r *Router) pipeline(snapshot *config.Snapshot, ref config.ModelRef) []*config.Target {
	holders := matchingTargets(snapshot, func(t *config.Target) bool {
		return t.Kind == config.KindEngine && t.Model == ref.Model && t.Version == ref.Version
	})
	turn := int(r.turn.Add(1))
	var chosen []*config.Target
	for reached := 0; reached < snapshot.Models[ref.Model].Layers; {
		next := slices.DeleteFunc(slices.Clone(holders), func(t *config.Target) bool { return t.Layers.From != reached })
		if len(next) == 0 {
			return nil
		}
		target := next[turn%len(next)]
		chosen = append(chosen, target)
		reached = target.Layers.To
	}
	return chosen
}

// instance returns the next instance of a plain service, round-robin, or nil if there is
// none.
func (r *Router) instance(snapshot *config.Snapshot, name string) *config.Target {
	instances := matchingTargets(snapshot, func(t *config.Target) bool { return t.Kind == config.KindService && t.Service == name })
	if len(instances) == 0 {
		return nil
	}
	return instances[int(r.turn.Add(1))%len(instances)]
}

// matchingTargets returns the matching targets that take work, sorted by name.
func matchingTargets(snapshot *config.Snapshot, matches func(*config.Target) bool) []*config.Target {
	var matching []*config.Target
	for _, t := range snapshot.Targets {
		if t.TakesWork() && matches(t) {
			matching = append(matching, t)
		}
	}
	slices.SortFunc(matching, func(a, b *config.Target) int { return cmp.Compare(a.Name, b.Name) })
	return matching
}
