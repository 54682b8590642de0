package config

// Link is the network link from one engine to another engine or to a data centre.
type Link struct {
	// To is the name of a target or, if no target has that name, of a data centre.
	To string `json:"to"`
	// Latency is the one-way latency.
	Latency Duration `json:"latency"`
	// BytesPerSecond is the link's bandwidth; 0 is unbounded.
	BytesPerSecond float64 `json:"bytesPerSecond,omitempty"`
}
