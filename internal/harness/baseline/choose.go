package baseline

import (
	"cmp"
	"slices"

	"geraniumcroft/internal/config"
)

// pipeline returns targets that hold the model's layers once and in order: by
// turns among those that go on where the one before ends. It is empty when there
// are none.
func (r *Router) pipeline(snapshot *config.Snapshot, ref config.ModelRef) []*config.Target {
	holders := sorted(snapshot, func(t *config.Target) bool {
		return t.Kind == config.KindEngine && t.Model == ref.Model && t.Version == ref.Version
	})
	turn := int(r.turn.Add(1))
	var chosen []*config.Target
	for reached := 0; reached < snapshot.Models[ref.Model].Layers; {
		next := slices.DeleteFunc(slices.Clone(holders), func(t *config.Target) bool { return t.Layers.From != reached })
		if len(next) == 0 {
			return nil
		}
		taken := next[turn%len(next)]
		chosen = append(chosen, taken)
		reached = taken.Layers.To
	}
	return chosen
}

// instance returns the instance of a plain service whose turn it is; nil when
// there is none.
func (r *Router) instance(snapshot *config.Snapshot, name string) *config.Target {
	instances := sorted(snapshot, func(t *config.Target) bool { return t.Kind == config.KindService && t.Service == name })
	if len(instances) == 0 {
		return nil
	}
	return instances[int(r.turn.Add(1))%len(instances)]
}

func sorted(snapshot *config.Snapshot, matches func(*config.Target) bool) []*config.Target {
	var found []*config.Target
	for _, t := range snapshot.Targets {
		if t.TakesWork() && matches(t) {
			found = append(found, t)
		}
	}
	slices.SortFunc(found, func(a, b *config.Target) int { return cmp.Compare(a.Name, b.Name) })
	return found
}
