package standin

import (
	"strings"

	"geraniumcroft/internal/config"
)

// FileError reports every error in a stand-in file.
type FileError struct {
	File     string
	Findings []config.Finding
}

// Error implements error. It returns one line for each finding.
func (e *FileError) Error() string {
	lines := make([]string, 0, len(e.Findings))
	for _, finding := range e.Findings {
		lines = append(lines, e.File+": "+finding.String())
	}
	return strings.Join(lines, "\n")
}
