package config

import (
	"encoding/json"
	"fmt"
	"maps"
)

// VersionGapError reports a change whose version is not the one after the snapshot's.
type VersionGapError struct {
	Have uint64
	Got  uint64
}

// Error implements error.
func (e *VersionGapError) Error() string {
	return fmt.Sprintf("change %d does not follow version %d", e.Got, e.Have)
}

// Apply returns a new snapshot with the change applied and does not modify s. It
// returns a *VersionGapError unless the change's version is the one after s.Version.
func (s *Snapshot) Apply(change Change) (*Snapshot, error) {
	if change.Version != s.Version+1 {
		return nil, &VersionGapError{Have: s.Version, Got: change.Version}
	}
	next := *s
	next.Version = change.Version
	if err := next.applyEntity(change); err != nil {
		return nil, err
	}
	return &next, nil
}

func (s *Snapshot) applyEntity(change Change) error {
	var err error
	switch change.Kind {
	case EntityWorkspace:
		s.Workspaces, err = applyToTable(s.Workspaces, change, func(w *Workspace) { w.Name, w.Revision = change.Name, change.Version })
	case EntityProfile:
		s.Profiles, err = applyToTable(s.Profiles, change, func(p *Profile) { p.Name, p.Revision = change.Name, change.Version })
	case EntityModel:
		s.Models, err = applyToTable(s.Models, change, func(m *Model) { m.Name, m.Revision = change.Name, change.Version })
	case EntityTarget:
		s.Targets, err = applyToTable(s.Targets, change, func(t *Target) { t.Name, t.Revision = change.Name, change.Version })
	default:
		err = &UnknownNameError{Kind: "entity", Name: string(change.Kind), Allowed: "workspace, profile, model, target"}
	}
	return err
}

// applyToTable returns a copy of the table with the change applied. setMeta sets the
// name and the revision of a new value.
func applyToTable[T any](table map[string]*T, change Change, setMeta func(*T)) (map[string]*T, error) {
	copied := maps.Clone(table)
	if change.IsDelete() {
		delete(copied, change.Name)
		return copied, nil
	}
	value := new(T)
	if err := json.Unmarshal(change.Value, value); err != nil {
		return nil, fmt.Errorf("%s %q: %w", change.Kind, change.Name, err)
	}
	setMeta(value)
	copied[change.Name] = value
	return copied, nil
}

// IsDelete reports whether the change removes its entity.
func (c Change) IsDelete() bool {
	return len(c.Value) == 0 || string(c.Value) == "null"
}
