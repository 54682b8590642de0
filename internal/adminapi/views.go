package adminapi

import (
	"encoding/json"

	"geraniumcroft/internal/config"
)

// WorkspaceView is a workspace without its key digests.
type WorkspaceView struct {
	Name        string `json:"name"`
	Weight      int    `json:"weight,omitempty"`
	MaxInFlight int    `json:"maxInFlight,omitempty"`
	// KeyDigestCount is the number of the workspace's keys.
	KeyDigestCount int    `json:"keyDigestCount"`
	Revision       uint64 `json:"revision"`
}

// viewOf returns the entity as responses show it: without key digests.
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

// viewOfJSON is viewOf for an encoded entity. A workspace that can't be decoded is
// omitted, since it might contain a secret.
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

// viewOfChange returns the change with its value as viewOfJSON returns it.
func viewOfChange(change config.Change) config.Change {
	change.Value = viewOfJSON(change.Kind, change.Value)
	return change
}
