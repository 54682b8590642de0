package relay

import "fmt"

// EntryError reports why an entry of discovery does not describe a usable replica.
type EntryError struct {
	// Field is the name of the invalid field in the entry, or "the entry" or "the key" if these are
	// invalid themselves.
	Field string
	// Found is the present value, shortened, "" if there is none.
	Found string
	// Want describes a valid value.
	Want string
}

// Error implements error.
func (e *EntryError) Error() string {
	if e.Found == "" {
		return fmt.Sprintf("%s is missing, want %s", e.Field, e.Want)
	}
	return fmt.Sprintf("%s is %s, want %s", e.Field, e.Found, e.Want)
}
