package settings

import "time"

// Relay holds the static settings of a VM that relays requests for an operator whose
// configuration is in the platform's store.
type Relay struct {
	// ReadyAddress is the address of the readiness check and MetricsAddress that of the
	// metrics and the dump.
	ReadyAddress   string
	MetricsAddress string
	// Grace is the time from SIGTERM until the process is killed.
	Grace time.Duration
	// RetryShare, RetrySlack and RetryWindow bound the sends beyond the first of each
	// request that the whole fleet may make to one service: within any RetryWindow,
	// RetryShare of the service's fresh requests plus RetrySlack.
	RetryShare  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// StoreAddress is the IP:port of the platform's store.
	StoreAddress string
}

// LoadRelay reads the settings file of a relaying VM. The settings are nil if there is
// any finding.
func LoadRelay(path string) (*Settings, []Finding) {
	return load(path, ParseRelay)
}

// ParseRelay is LoadRelay for the contents of a file; path only appears in findings.
func ParseRelay(path string, file []byte) (*Settings, []Finding) {
	return parse(path, file, RelayKeys, (*reader).checkListeners)
}
