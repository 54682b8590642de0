package adminapi

import "geraniumcroft/internal/config"

// ListResponse is one table of the configuration.
type ListResponse struct {
	// Version is the configuration's, as this VM has it in force.
	Version uint64 `json:"version"`
	Items   []any  `json:"items"`
	// UncheckedCallers are the targets that do not check who gives them an order,
	// IgnoreFencing the engines that take orders with an old fencing number.
	UncheckedCallers []string `json:"uncheckedCallers,omitempty"`
	IgnoreFencing    []string `json:"ignoreFencing,omitempty"`
}

func listOf(snapshot *config.Snapshot, kind config.EntityKind) ListResponse {
	answer := ListResponse{Version: snapshot.Version, Items: []any{}}
	for _, name := range snapshot.Names(kind) {
		entity, _ := snapshot.Entity(kind, name)
		answer.Items = append(answer.Items, viewOf(entity))
		if target, ok := entity.(*config.Target); ok {
			answer.noteTarget(target)
		}
	}
	return answer
}

func (a *ListResponse) noteTarget(t *config.Target) {
	if !t.ChecksCallers {
		a.UncheckedCallers = append(a.UncheckedCallers, t.Name)
	}
	if t.Kind == config.KindEngine && !t.RefusesOldFencing {
		a.IgnoreFencing = append(a.IgnoreFencing, t.Name)
	}
}
