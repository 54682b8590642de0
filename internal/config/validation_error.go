package config

import "strings"

// ValidationError reports all findings on a change.
type ValidationError struct {
	Findings []Finding
}

// Error implements error.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Findings))
	for i, finding := range e.Findings {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "; ")
}
