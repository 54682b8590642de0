package relay

import "time"

// ConfigSource gives the operator's configuration in force on this VM.
type ConfigSource interface {
	// Config returns the newest configuration that this VM has, nil before the first.
	Config() *Config
	// ConfigAge is the time since the store or a peer confirmed that it is the newest.
	ConfigAge() time.Duration
}
