package settings

import "fmt"

// Finding is one thing that is wrong in a settings file.
type Finding struct {
	File string `json:"file"`
	// Line counts from 1; 0 when the file as a whole could not be read.
	Line    int    `json:"line"`
	Section string `json:"section"`
	// Key is empty when the finding is about the section.
	Key     string `json:"key"`
	Problem string `json:"problem"`
	Allowed string `json:"allowed"`
}

// String returns the finding as "FILE:LINE: section.key: problem, allowed: what".
func (f Finding) String() string {
	place := f.Section
	if f.Key != "" {
		place += "." + f.Key
	}
	return fmt.Sprintf("%s:%d: %s: %s, allowed: %s", f.File, f.Line, place, f.Problem, f.Allowed)
}
