package config

import (
	"encoding/json"
	"time"
)

// Change is one accepted entry of the ordered history of the configuration.
type Change struct {
	// Version is the configuration's version once the change is applied; the
	// history has no gaps.
	Version uint64 `json:"version"`
	// ID is unique and chosen before the write, so that a writer whose answer was
	// lost finds its own change again.
	ID     string     `json:"id"`
	Author string     `json:"author"`
	Time   time.Time  `json:"time"`
	Kind   EntityKind `json:"kind"`
	Name   string     `json:"name"`
	// Value is the entity as JSON; null deletes it.
	Value json.RawMessage `json:"value"`
}
