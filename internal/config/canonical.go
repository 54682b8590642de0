package config

import (
	"encoding/json"
	"reflect"
	"slices"
)

// Canonical decodes the change's value strictly, fills in defaults and encodes it
// again, so that every VM applies the same bytes. If there are findings, the change is
// returned unmodified.
func Canonical(change Change) (Change, []Finding) {
	found := &findings{}
	if !slices.Contains(EntityKinds, change.Kind) {
		found.unknownKind(change)
		return change, found.sorted()
	}
	if change.IsDelete() {
		change.Value = nil
		return change, nil
	}
	entity := decodeEntity(change, found)
	if len(found.list) > 0 {
		return change, found.sorted()
	}
	encoded, err := json.Marshal(entity)
	if err != nil {
		found.add(entityPath(change), "does not encode: "+err.Error(), "")
		return change, found.sorted()
	}
	change.Value = encoded
	return change, nil
}

func entityPath(change Change) string {
	return string(change.Kind) + "." + change.Name
}

// decodeEntity decodes the change's value strictly and adds what is wrong with it to
// found. It returns the typed entity, or nil for an unknown kind.
func decodeEntity(change Change, found *findings) any {
	switch change.Kind {
	case EntityWorkspace:
		w := &Workspace{}
		decodeInto(change, w, &w.Name, &w.Revision, found)
		return w
	case EntityProfile:
		p := &Profile{}
		decodeInto(change, p, &p.Name, &p.Revision, found)
		return p
	case EntityModel:
		m := &Model{}
		decodeInto(change, m, &m.Name, &m.Revision, found)
		return m
	case EntityTarget:
		t := &Target{}
		decodeInto(change, t, &t.Name, &t.Revision, found)
		t.fillDefaults()
		return t
	}
	found.unknownKind(change)
	return nil
}

func (f *findings) unknownKind(change Change) {
	f.add(entityPath(change), "unknown kind", "workspace, profile, model, target")
}

// decodeInto decodes the change's value into entity, whose name becomes the change's
// and whose revision becomes 0.
func decodeInto(change Change, entity any, name *string, revision *uint64, found *findings) {
	path := entityPath(change)
	strictDecoder{findings: found}.decode(change.Value, reflect.ValueOf(entity).Elem(), path)
	if *name != "" && *name != change.Name {
		found.add(path+".name", "differs from the name that is changed", change.Name)
	}
	*name = change.Name
	*revision = 0
}

func (t *Target) fillDefaults() {
	if t.State == "" {
		t.State = StateActive
	}
	if address, ok := ParseAddress(t.Address); ok {
		t.Address = address
	}
}
