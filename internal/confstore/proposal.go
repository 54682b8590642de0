package confstore

import (
	"encoding/json"

	"geraniumcroft/internal/config"
)

// Proposal is a request for one change of the configuration.
type Proposal struct {
	// ID is unique and chosen by the author. Repeating a proposal with the same id
	// returns the same change.
	ID     string
	Author string
	Kind   config.EntityKind
	Name   string
	// Value is the entity as JSON. Null or empty deletes the entity.
	Value json.RawMessage
	// IfRevision is the revision of the entity that the author has read, 0 to create it.
	IfRevision uint64
}

// change returns the change without a version and time.
func (p Proposal) change() config.Change {
	return config.Change{ID: p.ID, Author: p.Author, Kind: p.Kind, Name: p.Name, Value: p.Value}
}
