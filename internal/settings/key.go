package settings

import (
	"fmt"
	"strings"
)

// Key describes one key of the settings file.
type Key struct {
	Section string
	Name    string
	Kind    Kind
	// Required keys must be in the file and have no default.
	Required bool
	// Default is the value of a key that is left out, as written in the file; empty for
	// no default.
	Default string
	// Min and Max are the inclusive bounds of numbers and durations, as written in the
	// file.
	Min, Max string
	// Choices are the allowed values of a KindChoice key.
	Choices []string
	// Doc is the key's help text in docs/settings.md and in the example file.
	Doc string
	// field returns a pointer to the field that the key sets.
	field func(*Settings) any
}

// Allowed describes the values that the key accepts.
func (k Key) Allowed() string {
	switch {
	case k.Kind == KindChoice:
		return k.Kind.allowed() + " " + strings.Join(k.Choices, ", ")
	case k.Min != "":
		return fmt.Sprintf("%s from %s to %s", k.Kind.allowed(), k.Min, k.Max)
	default:
		return k.Kind.allowed()
	}
}
