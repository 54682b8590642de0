package incarnation

import (
	"strconv"
	"strings"
)

// Values of Key.Born if the start time is not known.
const (
	// BornMissing: the replica did not report its start time.
	BornMissing int64 = 0
	// BornUnreadable: the reported start time is not a whole number of milliseconds.
	BornUnreadable int64 = -1
)

// Key identifies one incarnation of a replica.
type Key struct {
	// ID is the id of the replica, which it compares with the id in requests.
	ID string
	// Born is the start time in Unix milliseconds, or BornMissing or BornUnreadable.
	Born int64
}

// separator separates the id from the start time.
const separator = "@"

// String returns the id and the start time, in the form used in logs and between VMs.
func (k Key) String() string { return k.ID + separator + strconv.FormatInt(k.Born, 10) }

// Parse reads the form that String returns. A text without a start time, as VMs of an earlier
// version send it, is an id alone.
func Parse(text string) Key {
	at := strings.LastIndex(text, separator)
	if at < 0 {
		return Key{ID: text}
	}
	born, err := strconv.ParseInt(text[at+len(separator):], 10, 64)
	if err != nil {
		return Key{ID: text}
	}
	return Key{ID: text[:at], Born: born}
}

// MarshalText implements encoding.TextMarshaler, so that a Key can be the key of a JSON object.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It never fails.
func (k *Key) UnmarshalText(text []byte) error {
	*k = Parse(string(text))
	return nil
}

// Succeeds reports whether k is a later incarnation of the same replica than other. It is false if
// either start time is not known.
func (k Key) Succeeds(other Key) bool {
	return k.ID == other.ID && other.Born > 0 && k.Born > other.Born
}
