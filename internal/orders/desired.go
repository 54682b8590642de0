package orders

import (
	"slices"

	"github.com/google/uuid"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
)

// isManaged reports whether the target is an engine that is to hold a model.
func isManaged(t *config.Target) bool {
	return t.Kind == config.KindEngine && t.Model != ""
}

// newOrder returns the order that makes the engine hold what its entry says. The role stays as it
// is, because entries have none.
func newOrder(t *config.Target, state engine.State, fencing uint64) engine.Order {
	return engine.Order{
		ID:       uuid.NewString(),
		Fencing:  fencing,
		Model:    t.Model,
		Version:  t.Version,
		Adapters: slices.Clone(t.Adapters),
		Layers:   t.Layers,
		Role:     state.Role,
	}
}

// stateMatches reports whether the engine holds what its entry says.
func stateMatches(t *config.Target, state engine.State) bool {
	return state.Model == t.Model &&
		state.Version == t.Version &&
		state.Layers == t.Layers &&
		sameSet(state.Adapters, t.Adapters)
}

// orderMatches reports whether the order is for what the target's entry says now.
func orderMatches(order engine.Order, t *config.Target) bool {
	return order.Model == t.Model &&
		order.Version == t.Version &&
		order.Layers == t.Layers &&
		sameSet(order.Adapters, t.Adapters)
}

func sameSet(a, b []string) bool {
	return slices.Equal(sortedSet(a), sortedSet(b))
}

func sortedSet(names []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(names)))
}
