package settings

import "time"

// Targets says how targets are watched.
type Targets struct {
	ReportInterval   time.Duration
	ConnectTimeout   time.Duration
	SilenceTimeout   time.Duration
	EjectionFailures int
	EjectionTime     time.Duration
	EjectionMaxShare float64
}
