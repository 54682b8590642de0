package settings

import "fmt"

// Finding is one problem of a settings file.
type Finding struct {
	File string `json:"file"`
	// Line counts from 1; it is 0 if the file could not be read or is too long.
	Line    int    `json:"line"`
	Section string `json:"section"`
	// Key is empty if the finding is about the whole section.
	Key string `json:"key"`
	// Problem says what is wrong and Allowed which values are allowed.
	Problem string `json:"problem"`
	Allowed string `json:"allowed"`
}

// String returns the finding as "FILE:LINE: section.key: problem, allowed: what".
func (f Finding) String() string {
	name := f.Section
	if f.Key != "" {
		name += "." + f.Key
	}
	return fmt.Sprintf("%s:%d: %s: %s, allowed: %s", f.File, f.Line, name, f.Problem, f.Allowed)
}
