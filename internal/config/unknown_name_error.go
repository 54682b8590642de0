package config

import "fmt"

// UnknownNameError reports a name that is not one of an enumeration's values.
type UnknownNameError struct {
	// Kind names the enumeration and Allowed lists its values.
	Kind    string
	Name    string
	Allowed string
}

// Error implements error.
func (e *UnknownNameError) Error() string {
	return fmt.Sprintf("unknown %s %q, allowed: %s", e.Kind, e.Name, e.Allowed)
}
