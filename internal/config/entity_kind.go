package config

// EntityKind names one of a snapshot's tables.
type EntityKind string

// The tables of a snapshot.
const (
	EntityWorkspace EntityKind = "workspace"
	EntityProfile   EntityKind = "profile"
	EntityModel     EntityKind = "model"
	EntityTarget    EntityKind = "target"
)
