package config

// EntityKind is the kind of an entity and names its table in a snapshot.
type EntityKind string

// The kinds of entities.
const (
	EntityWorkspace EntityKind = "workspace"
	EntityProfile   EntityKind = "profile"
	EntityModel     EntityKind = "model"
	EntityTarget    EntityKind = "target"
)
