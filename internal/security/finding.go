package security

import "fmt"

// Finding is one thing that is wrong in a tokens file. It never holds what stands
// in the line, which may be a token by mistake.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Problem string `json:"problem"`
	Allowed string `json:"allowed"`
}

// String returns the finding as "FILE:LINE: problem, allowed: what".
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s, allowed: %s", f.File, f.Line, f.Problem, f.Allowed)
}
