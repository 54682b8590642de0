package settings

import "time"

// Relay are the static settings of a VM that relays requests for an operator whose
// configuration lies in the platform's store.
type Relay struct {
	ReadyAddress   string
	MetricsAddress string
	// Grace is the time from the request to stop until the process is killed.
	Grace time.Duration
	// RetryShare, RetrySlack and RetryWindow are the fleet's allowance of sends beyond
	// the first of each request, for one service.
	RetryShare  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// StoreAddress is IP:port of the platform's store.
	StoreAddress string
}

// LoadRelay reads the settings file of a relaying VM. The settings are nil when there
// is any finding.
func LoadRelay(path string) (*Settings, []Finding) {
	return load(path, ParseRelay)
}

// ParseRelay is LoadRelay for a file that has been read; path is for the findings.
func ParseRelay(path string, file []byte) (*Settings, []Finding) {
	return parse(path, file, RelayKeys, (*reader).checkListeners)
}
