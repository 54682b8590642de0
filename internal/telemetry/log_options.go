package telemetry

import "io"

// LogOptions configures NewLog.
type LogOptions struct {
	// Level is debug, info, warn or error.
	Level string
	// Format is json or console.
	Format string
	// Out receives the lines, from one goroutine. It may block.
	Out io.Writer
}
