package confstore

import (
	"encoding/json"

	"geraniumcroft/internal/config"
)

// Proposal asks for one change of the configuration.
type Proposal struct {
	// ID is unique and chosen by the author; the same one proposed again answers
	// the same change.
	ID     string
	Author string
	Kind   config.EntityKind
	Name   string
	// Value is the entity as JSON; null or empty deletes it.
	Value json.RawMessage
	// IfRevision is the entity's revision that the author has read; 0 creates.
	IfRevision uint64
}

func (p Proposal) change() config.Change {
	return config.Change{ID: p.ID, Author: p.Author, Kind: p.Kind, Name: p.Name, Value: p.Value}
}
