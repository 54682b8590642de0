package settings

// Metrics holds the settings of the metrics.
type Metrics struct {
	// Prefix is the first part of each metric's name.
	Prefix string
}
