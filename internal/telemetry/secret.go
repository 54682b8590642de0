package telemetry

import (
	"fmt"
	"io"
)

// redacted stands for a secret wherever one would be printed.
const redacted = "[secret]"

// Secret is a key or token. No verb of fmt, encoder or logger shows it; only
// Reveal does. It is a struct because encoding/json prints the keys of a map as
// they are when their kind is string, whatever methods they have.
type Secret struct{ value string }

// NewSecret returns value as a secret.
func NewSecret(value string) Secret { return Secret{value: value} }

// Reveal returns the secret itself.
func (s Secret) Reveal() string { return s.value }

// Format implements fmt.Formatter for all verbs, %x and %q included.
func (s Secret) Format(state fmt.State, _ rune) { _, _ = io.WriteString(state, redacted) }

// String implements fmt.Stringer.
func (s Secret) String() string { return redacted }

// GoString implements fmt.GoStringer.
func (s Secret) GoString() string { return redacted }

// MarshalText implements encoding.TextMarshaler, for JSON and maps' keys too.
func (s Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }
