package confstore

import (
	"encoding/json"

	"geraniumcroft/internal/config"
)

// revisionOf returns an entity's revision, 0 when there is none.
func revisionOf(s *config.Snapshot, kind config.EntityKind, name string) uint64 {
	switch kind {
	case config.EntityWorkspace:
		if w := s.Workspaces[name]; w != nil {
			return w.Revision
		}
	case config.EntityProfile:
		if p := s.Profiles[name]; p != nil {
			return p.Revision
		}
	case config.EntityModel:
		if m := s.Models[name]; m != nil {
			return m.Revision
		}
	case config.EntityTarget:
		if t := s.Targets[name]; t != nil {
			return t.Revision
		}
	}
	return 0
}

// entityJSON returns an entity as JSON, null when there is none.
func entityJSON(s *config.Snapshot, kind config.EntityKind, name string) json.RawMessage {
	var value any
	switch kind {
	case config.EntityWorkspace:
		value = s.Workspaces[name]
	case config.EntityProfile:
		value = s.Profiles[name]
	case config.EntityModel:
		value = s.Models[name]
	case config.EntityTarget:
		value = s.Targets[name]
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return json.RawMessage("null")
	}
	return encoded
}
