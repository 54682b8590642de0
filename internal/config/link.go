package config

// Link is the connection from one engine to another engine or data centre.
type Link struct {
	// To is a target's name or, failing that, a data centre's.
	To string `json:"to"`
	// Latency is one way.
	Latency Duration `json:"latency"`
	// BytesPerSecond is the link's bandwidth; 0 is unbounded.
	BytesPerSecond float64 `json:"bytesPerSecond,omitempty"`
}
