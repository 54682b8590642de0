package enginesim

import "time"

// LinkFunc gives the one-way latency and the bandwidth in bytes a second of the
// link between two targets; a bandwidth of 0 is unlimited.
type LinkFunc func(from, to string) (latency time.Duration, bytesPerSecond float64)
