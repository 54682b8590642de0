package config

import "fmt"

// Finding is one problem of a change or a snapshot.
type Finding struct {
	// Path names the field, such as profile.permits.models[0].version.
	Path string `json:"path"`
	// Problem says what is wrong. Allowed says which values are allowed and may be
	// empty.
	Problem string `json:"problem"`
	Allowed string `json:"allowed,omitempty"`
}

// String returns the finding as one line.
func (f Finding) String() string {
	if f.Allowed == "" {
		return fmt.Sprintf("%s: %s", f.Path, f.Problem)
	}
	return fmt.Sprintf("%s: %s, allowed: %s", f.Path, f.Problem, f.Allowed)
}
