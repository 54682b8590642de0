package relay

import "time"

// ConfigSource provides the operator's configuration in force on this VM.
type ConfigSource interface {
	// Config returns the newest configuration that this VM has, nil before the first one.
	Config() *Config
	// ConfigAge returns the time since the store or a peer confirmed that it is the newest.
	ConfigAge() time.Duration
}
