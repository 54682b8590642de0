package telemetry

import "io"

// LogOptions say what is logged, how and where to.
type LogOptions struct {
	// Level is debug, info, warn or error.
	Level string
	// Format is json or console.
	Format string
	Out    io.Writer
}
