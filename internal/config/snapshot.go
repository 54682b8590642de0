package config

// Snapshot is the whole configuration at one version. It is immutable: neither
// the maps nor the values behind the pointers change after it is published.
type Snapshot struct {
	Version    uint64                `json:"version"`
	Workspaces map[string]*Workspace `json:"workspaces"`
	Profiles   map[string]*Profile   `json:"profiles"`
	Models     map[string]*Model     `json:"models"`
	Targets    map[string]*Target    `json:"targets"`
}

// NewSnapshot returns the empty configuration, at version 0.
func NewSnapshot() *Snapshot {
	return &Snapshot{
		Workspaces: map[string]*Workspace{},
		Profiles:   map[string]*Profile{},
		Models:     map[string]*Model{},
		Targets:    map[string]*Target{},
	}
}
