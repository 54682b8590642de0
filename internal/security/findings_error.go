package security

import "strings"

// FindingsError reports all errors in a tokens file.
type FindingsError struct{ Findings []Finding }

// Error implements the error interface. The text has one line per finding.
func (e *FindingsError) Error() string {
	lines := make([]string, len(e.Findings))
	for i, finding := range e.Findings {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}
