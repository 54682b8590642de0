package adminapi

import "geraniumcroft/internal/config"

// ListAnswer is one table of the configuration.
type ListAnswer struct {
	// Version is the configuration's, as this VM has it in force.
	Version uint64 `json:"version"`
	Items   []any  `json:"items"`
	// UncheckedCallers are the targets that do not check who gives them an order,
	// IgnoreFencing the engines that take orders with an old fencing number.
	UncheckedCallers []string `json:"uncheckedCallers,omitempty"`
	IgnoreFencing    []string `json:"ignoreFencing,omitempty"`
}

func listOf(snapshot *config.Snapshot, kind config.EntityKind) ListAnswer {
	answer := ListAnswer{Version: snapshot.Version, Items: []any{}}
	for _, name := range snapshot.Names(kind) {
		entity, _ := snapshot.Entity(kind, name)
		answer.Items = append(answer.Items, viewOf(entity))
		if target, ok := entity.(*config.Target); ok {
			answer.noteTarget(target)
		}
	}
	return answer
}

func (a *ListAnswer) noteTarget(t *config.Target) {
	if !t.ChecksCallers {
		a.UncheckedCallers = append(a.UncheckedCallers, t.Name)
	}
	if t.Kind == config.KindEngine && !t.RefusesOldFencing {
		a.IgnoreFencing = append(a.IgnoreFencing, t.Name)
	}
}
