package config

import (
	"encoding/json"
	"fmt"
	"maps"
)

// VersionGapError reports a change that does not follow the snapshot's version.
type VersionGapError struct {
	Have uint64
	Got  uint64
}

// Error implements error.
func (e *VersionGapError) Error() string {
	return fmt.Sprintf("change %d does not follow version %d", e.Got, e.Have)
}

// Apply returns a new snapshot with the change applied; s stays as it is. It
// returns a *VersionGapError unless the change's version is the next one.
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
		s.Workspaces, err = put(s.Workspaces, change, func(w *Workspace) { w.Name, w.Revision = change.Name, change.Version })
	case EntityProfile:
		s.Profiles, err = put(s.Profiles, change, func(p *Profile) { p.Name, p.Revision = change.Name, change.Version })
	case EntityModel:
		s.Models, err = put(s.Models, change, func(m *Model) { m.Name, m.Revision = change.Name, change.Version })
	case EntityTarget:
		s.Targets, err = put(s.Targets, change, func(t *Target) { t.Name, t.Revision = change.Name, change.Version })
	default:
		err = &UnknownNameError{Kind: "entity", Name: string(change.Kind), Allowed: "workspace, profile, model, target"}
	}
	return err
}

func put[T any](table map[string]*T, change Change, stamp func(*T)) (map[string]*T, error) {
	copied := maps.Clone(table)
	if change.IsDelete() {
		delete(copied, change.Name)
		return copied, nil
	}
	value := new(T)
	if err := json.Unmarshal(change.Value, value); err != nil {
		return nil, fmt.Errorf("%s %q: %w", change.Kind, change.Name, err)
	}
	stamp(value)
	copied[change.Name] = value
	return copied, nil
}

// IsDelete reports whether the change removes its entity.
func (c Change) IsDelete() bool {
	return len(c.Value) == 0 || string(c.Value) == "null"
}
