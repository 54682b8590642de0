package security

import "fmt"

// Finding is one error in a tokens file. It never contains text from the line, which may
// be a token by mistake.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Problem string `json:"problem"`
	Allowed string `json:"allowed"`
}

// String returns the finding as "FILE:LINE: PROBLEM, allowed: ALLOWED".
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s, allowed: %s", f.File, f.Line, f.Problem, f.Allowed)
}
