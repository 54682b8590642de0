// Package secret keeps keys and tokens out of logs, dumps and error texts.
//
// A key that is a plain string shows up wherever a struct that holds it is printed,
// by a log line that somebody adds in a hurry or by a panic's text, and nobody
// notices until the log has been copied elsewhere. A Value prints as a placeholder
// by every verb, encoder and logger; the places that may see it call Reveal, and
// can be searched for.
package secret

import (
	"fmt"
	"io"
)

// redacted stands for a secret wherever one would be printed.
const redacted = "[secret]"

// Value is a key or token; the zero value is none. It is a struct because
// encoding/json prints the keys of a map as they are when their kind is string,
// whatever methods they have.
type Value struct{ value string }

// New returns value as a secret.
func New(value string) Value { return Value{value: value} }

// Reveal returns the secret itself.
func (v Value) Reveal() string { return v.value }

// IsZero reports whether there is no secret.
func (v Value) IsZero() bool { return v.value == "" }

// Format implements fmt.Formatter for all verbs, %x and %q included.
func (v Value) Format(state fmt.State, _ rune) { _, _ = io.WriteString(state, redacted) }

// String implements fmt.Stringer.
func (v Value) String() string { return redacted }

// GoString implements fmt.GoStringer.
func (v Value) GoString() string { return redacted }

// MarshalText implements encoding.TextMarshaler, for JSON and maps' keys too.
func (v Value) MarshalText() ([]byte, error) { return []byte(redacted), nil }
