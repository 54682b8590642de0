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
	// Required keys have no default.
	Required bool
	// Default stands for the key when it is left out, written as in the file.
	Default string
	// Min and Max bound numbers and durations, both included, written as in the file.
	Min, Max string
	// Choices are the values of a KindChoice.
	Choices []string
	Doc     string
	// field returns a pointer to the field that the key fills.
	field func(*Settings) any
}

// Allowed says in words which values the key takes.
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
