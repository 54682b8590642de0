package config

import (
	"maps"
	"slices"
)

// EntityKinds lists all kinds of entities, one for each table of a snapshot.
var EntityKinds = []EntityKind{EntityWorkspace, EntityProfile, EntityModel, EntityTarget}

// Entity returns an entity and its revision, or nil and 0 if it does not exist.
func (s *Snapshot) Entity(kind EntityKind, name string) (entity any, revision uint64) {
	switch kind {
	case EntityWorkspace:
		if w := s.Workspaces[name]; w != nil {
			return w, w.Revision
		}
	case EntityProfile:
		if p := s.Profiles[name]; p != nil {
			return p, p.Revision
		}
	case EntityModel:
		if m := s.Models[name]; m != nil {
			return m, m.Revision
		}
	case EntityTarget:
		if t := s.Targets[name]; t != nil {
			return t, t.Revision
		}
	}
	return nil, 0
}

// Names returns the sorted names of a table's entities.
func (s *Snapshot) Names(kind EntityKind) []string {
	switch kind {
	case EntityWorkspace:
		return slices.Sorted(maps.Keys(s.Workspaces))
	case EntityProfile:
		return slices.Sorted(maps.Keys(s.Profiles))
	case EntityModel:
		return slices.Sorted(maps.Keys(s.Models))
	case EntityTarget:
		return slices.Sorted(maps.Keys(s.Targets))
	}
	return nil
}
