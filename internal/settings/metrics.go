package settings

// Metrics says how metrics are named.
type Metrics struct {
	Prefix string
}
