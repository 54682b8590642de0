package capacity

import "fmt"

// InvalidError reports a field of an engine's description that is not a positive finite
// number.
type InvalidError struct {
	// Field is the name of the field of Engine.
	Field string
	// Value is the field's value, of the field's type.
	Value any
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("engine description: %s is %v, must be positive and finite", e.Field, e.Value)
}
