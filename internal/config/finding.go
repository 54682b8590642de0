package config

import "fmt"

// Finding is one thing that is wrong with a change or a snapshot.
type Finding struct {
	// Path is the place, such as profile.permits.models[0].version.
	Path string `json:"path"`
	// Problem says what is wrong, Allowed what is allowed; Allowed may be empty.
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
