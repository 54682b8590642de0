package config

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// strictDecoder decodes JSON into typed values and collects every unknown or repeated
// field and every wrong type, each with its path. encoding/json stops at the first
// unknown field, matches names without regard to case and reports only the first wrong
// type: an operator would have to correct a file one finding at a time, or a misspelt
// field would be ignored.
type strictDecoder struct {
	findings *findings
}

func (d strictDecoder) decode(raw json.RawMessage, into reflect.Value, path string) {
	_, isText := into.Addr().Interface().(encoding.TextUnmarshaler)
	switch {
	case isText:
		d.leaf(raw, into, path)
	case into.Kind() == reflect.Struct:
		d.object(raw, into, path)
	case into.Kind() == reflect.Slice:
		d.list(raw, into, path)
	default:
		d.leaf(raw, into, path)
	}
}

func (d strictDecoder) leaf(raw json.RawMessage, into reflect.Value, path string) {
	if err := json.Unmarshal(raw, into.Addr().Interface()); err != nil {
		d.findings.add(path, "does not parse: "+trimJSONError(err), "")
	}
}

func (d strictDecoder) list(raw json.RawMessage, into reflect.Value, path string) {
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		d.findings.add(path, "is not a list", "a JSON list")
		return
	}
	if items == nil {
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(items), len(items)))
	for i, item := range items {
		d.decode(item, into.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (d strictDecoder) object(raw json.RawMessage, into reflect.Value, path string) {
	fields, err := objectFields(raw)
	if err != nil {
		d.findings.add(path, err.Error(), "a JSON object")
		return
	}
	known := knownFields(into)
	for _, field := range fields {
		fieldPath := path + "." + field.name
		target, ok := known[field.name]
		switch {
		case !ok:
			d.findings.add(fieldPath, "unknown field", strings.Join(fieldNames(into), ", "))
		case field.repeated:
			d.findings.add(fieldPath, "is given twice", "each field once")
		default:
			d.decode(field.value, target, fieldPath)
		}
	}
}

// objectFields returns the fields of a JSON object in their order of appearance.
func objectFields(raw json.RawMessage) ([]rawField, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return nil, fmt.Errorf("is not a JSON object")
	}
	var fields []rawField
	seen := map[string]bool{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, fmt.Errorf("does not parse: %s", trimJSONError(err))
		}
		field := rawField{name: fmt.Sprint(token)}
		if err := decoder.Decode(&field.value); err != nil {
			return nil, fmt.Errorf("does not parse: %s", trimJSONError(err))
		}
		field.repeated = seen[field.name]
		seen[field.name] = true
		fields = append(fields, field)
	}
	if _, err := decoder.Token(); err != nil {
		return nil, fmt.Errorf("does not parse: the object does not end")
	}
	if decoder.More() {
		return nil, fmt.Errorf("does not parse: more than one value")
	}
	return fields, nil
}

// knownFields returns a struct's fields by their JSON names.
func knownFields(value reflect.Value) map[string]reflect.Value {
	known := map[string]reflect.Value{}
	for i := range value.NumField() {
		known[jsonName(value.Type().Field(i))] = value.Field(i)
	}
	return known
}

// fieldNames returns the sorted JSON names of a struct's fields.
func fieldNames(value reflect.Value) []string {
	var names []string
	for i := range value.NumField() {
		names = append(names, jsonName(value.Type().Field(i)))
	}
	slices.Sort(names)
	return names
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

// trimJSONError returns the error's text without the prefix of encoding/json.
func trimJSONError(err error) string {
	return strings.TrimPrefix(err.Error(), "json: ")
}
