package security

import "strings"

// FindingsError reports all that is wrong in a file.
type FindingsError struct{ Findings []Finding }

// Error implements error; one finding a line.
func (e *FindingsError) Error() string {
	lines := make([]string, len(e.Findings))
	for i, finding := range e.Findings {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}
