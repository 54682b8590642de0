package adminapi

import "geraniumcroft/internal/config"

// ListResponse lists all entities of one kind.
type ListResponse struct {
	// Version is the configuration version that is in force on this VM.
	Version uint64 `json:"version"`
	Items   []any  `json:"items"`
	// UncheckedCallers lists the targets that do not authenticate the sender of an
	// order. IgnoreFencing lists the engines that accept orders with an old fencing
	// number.
	UncheckedCallers []string `json:"uncheckedCallers,omitempty"`
	IgnoreFencing    []string `json:"ignoreFencing,omitempty"`
}

func newListResponse(snapshot *config.Snapshot, kind config.EntityKind) ListResponse {
	response := ListResponse{Version: snapshot.Version, Items: []any{}}
	for _, name := range snapshot.Names(kind) {
		entity, _ := snapshot.Entity(kind, name)
		response.Items = append(response.Items, viewOf(entity))
		if target, ok := entity.(*config.Target); ok {
			response.addTargetWarnings(target)
		}
	}
	return response
}

// addTargetWarnings adds t to the lists of targets that check too little.
func (a *ListResponse) addTargetWarnings(t *config.Target) {
	if !t.ChecksCallers {
		a.UncheckedCallers = append(a.UncheckedCallers, t.Name)
	}
	if t.Kind == config.KindEngine && !t.RefusesOldFencing {
		a.IgnoreFencing = append(a.IgnoreFencing, t.Name)
	}
}
