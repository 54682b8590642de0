package confstore

import (
	"encoding/json"

	"geraniumcroft/internal/config"
)

// entityJSON returns an entity as JSON, null if it does not exist.
func entityJSON(s *config.Snapshot, kind config.EntityKind, name string) json.RawMessage {
	entity, _ := s.Entity(kind, name)
	encoded, err := json.Marshal(entity)
	if err != nil {
		return json.RawMessage("null")
	}
	return encoded
}
