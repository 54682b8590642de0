package config

import (
	"encoding/json"
	"time"
)

// Change is one entry of the configuration's ordered history.
type Change struct {
	// Version is the configuration's version after the change; the history has no
	// gaps.
	Version uint64 `json:"version"`
	// ID is unique and chosen before the write, so that a writer that lost the
	// response can look up its own change.
	ID     string     `json:"id"`
	Author string     `json:"author"`
	Time   time.Time  `json:"time"`
	Kind   EntityKind `json:"kind"`
	Name   string     `json:"name"`
	// Value is the entity as JSON; null or no value deletes the entity.
	Value json.RawMessage `json:"value"`
}
