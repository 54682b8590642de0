package adminapi

import (
	"encoding/json"

	"geraniumcroft/internal/config"
)

// WorkspaceView is a workspace without its keys' digests.
type WorkspaceView struct {
	Name        string `json:"name"`
	Weight      int    `json:"weight,omitempty"`
	MaxInFlight int    `json:"maxInFlight,omitempty"`
	// KeyDigestCount is how many keys the workspace has.
	KeyDigestCount int    `json:"keyDigestCount"`
	Revision       uint64 `json:"revision"`
}

func viewOf(entity any) any {
	w, ok := entity.(*config.Workspace)
	if !ok {
		return entity
	}
	return WorkspaceView{
		Name:           w.Name,
		Weight:         w.Weight,
		MaxInFlight:    w.MaxInFlight,
		KeyDigestCount: len(w.KeyDigests),
		Revision:       w.Revision,
	}
}

// viewOfJSON is viewOf for an entity in JSON. What does not decode is left out
// whole, as nobody can say that it holds no secret.
func viewOfJSON(kind config.EntityKind, raw json.RawMessage) json.RawMessage {
	if kind != config.EntityWorkspace || len(raw) == 0 || string(raw) == "null" {
		return raw
	}
	var w config.Workspace
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil
	}
	encoded, err := json.Marshal(viewOf(&w))
	if err != nil {
		return nil
	}
	return encoded
}

func viewOfChange(change config.Change) config.Change {
	change.Value = viewOfJSON(change.Kind, change.Value)
	return change
}
