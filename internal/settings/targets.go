package settings

import "time"

// Targets holds the settings for monitoring targets.
type Targets struct {
	ReportInterval   time.Duration
	ConnectTimeout   time.Duration
	SilenceTimeout   time.Duration
	EjectionFailures int
	EjectionTime     time.Duration
	EjectionMaxShare float64
}
