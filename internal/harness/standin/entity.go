package standin

import "geraniumcroft/internal/config"

// entity is one line of the output of PrintEntities.
type entity struct {
	Kind  config.EntityKind `json:"kind"`
	Name  string            `json:"name"`
	Value any               `json:"value"`
}
