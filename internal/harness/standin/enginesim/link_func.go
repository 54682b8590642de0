package enginesim

import "time"

// LinkFunc returns the one-way latency and the bandwidth in bytes per second of the
// link between two targets. A bandwidth of 0 is unlimited.
type LinkFunc func(from, to string) (latency time.Duration, bytesPerSecond float64)
