package config

import (
	"fmt"
	"maps"
	"slices"
)

// Validate returns everything that is wrong with a change to the snapshot: its
// own fields, what it refers to, and what refers to it. Findings that the
// snapshot had before, elsewhere, are not repeated, so they never block a mend.
func Validate(change Change, snapshot *Snapshot) []Finding {
	v := &validator{snapshot: snapshot}
	v.name(change.Name, entityPath(change)+".name")
	if change.IsDelete() {
		v.deletion(change)
		return v.sorted()
	}
	entity := decodeEntity(change, &v.findings)
	if len(v.list) > 0 {
		return v.sorted()
	}
	v.entity(entity)
	if model, ok := entity.(*Model); ok {
		v.dependants(model)
	}
	return v.sorted()
}

// ValidateSnapshot returns everything that is wrong with a whole configuration.
func ValidateSnapshot(snapshot *Snapshot) []Finding {
	v := &validator{snapshot: snapshot}
	validateTable(v, EntityWorkspace, snapshot.Workspaces)
	validateTable(v, EntityProfile, snapshot.Profiles)
	validateTable(v, EntityModel, snapshot.Models)
	validateTable(v, EntityTarget, snapshot.Targets)
	return v.sorted()
}

func validateTable[T any](v *validator, kind EntityKind, table map[string]*T) {
	for _, name := range slices.Sorted(maps.Keys(table)) {
		path := fmt.Sprintf("%s.%s", kind, name)
		if table[name] == nil {
			v.add(path, "is null", "an object")
			continue
		}
		v.name(name, path+".name")
		v.entity(table[name])
	}
}
