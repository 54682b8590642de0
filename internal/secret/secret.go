// Package secret keeps keys and tokens out of logs, dumps and error texts.
//
// A key that is a plain string appears wherever a struct that contains it is printed, for
// example by an added log line or in the text of a panic, and this is often noticed only
// after the log has been copied elsewhere. A Value is printed as a placeholder by all verbs,
// encoders and loggers. Code that needs the secret calls Reveal, so all such places can be
// found by a search.
package secret

import (
	"fmt"
	"io"
)

// redacted is printed in place of a secret.
const redacted = "[secret]"

// Value is a key or token; the zero value means that there is none. It is a struct because
// encoding/json prints map keys of kind string unchanged, whatever methods they have.
type Value struct{ value string }

// New returns a Value that holds the secret value.
func New(value string) Value { return Value{value: value} }

// Reveal returns the secret itself.
func (v Value) Reveal() string { return v.value }

// IsZero reports whether v holds no secret.
func (v Value) IsZero() bool { return v.value == "" }

// Format implements fmt.Formatter. It prints the placeholder for all verbs, including %x
// and %q.
func (v Value) Format(state fmt.State, _ rune) { _, _ = io.WriteString(state, redacted) }

// String implements fmt.Stringer.
func (v Value) String() string { return redacted }

// GoString implements fmt.GoStringer.
func (v Value) GoString() string { return redacted }

// MarshalText implements encoding.TextMarshaler, which covers JSON values and map keys.
func (v Value) MarshalText() ([]byte, error) { return []byte(redacted), nil }
