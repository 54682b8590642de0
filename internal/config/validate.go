package config

import (
	"fmt"
	"maps"
	"slices"
)

// Validate returns all findings on a change to the snapshot: on its own fields, on
// what it refers to and on what refers to it. Findings that the snapshot already has
// elsewhere are not repeated, so that they never block a correction.
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

// ValidateSnapshot returns all findings on a whole configuration.
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
