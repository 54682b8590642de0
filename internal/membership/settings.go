package membership

import (
	"math"
	"time"
)

// Settings holds the timeouts and limits of a Table. Zero fields take the defaults.
type Settings struct {
	// SuspicionTimeout is how long a suspected VM has to refute, in a fleet of up to ten VMs. It
	// grows with the logarithm of the fleet size, as does the time that a rumour takes to reach
	// all VMs.
	SuspicionTimeout time.Duration
	// Retention is how long a dead VM is remembered and probed. It has to cover a partition
	// between regions.
	Retention time.Duration
	// RetryDeadEvery is n if every n-th probe goes to a dead VM.
	RetryDeadEvery int
	// TransmitFactor times log2 of the fleet size is how often a rumour is transmitted.
	TransmitFactor int
	// Rotation is how many members are added to each message besides the rumours, to repair what
	// lost rumours left out of date.
	Rotation int
}

// Defaults of Settings.
const (
	DefaultSuspicionTimeout = 5 * time.Second
	DefaultRetention        = 3 * time.Hour
	DefaultRetryDeadEvery   = 3
	DefaultTransmitFactor   = 2
	DefaultRotation         = 2
)

func (s Settings) withDefaults() Settings {
	if s.SuspicionTimeout == 0 {
		s.SuspicionTimeout = DefaultSuspicionTimeout
	}
	if s.Retention == 0 {
		s.Retention = DefaultRetention
	}
	if s.RetryDeadEvery == 0 {
		s.RetryDeadEvery = DefaultRetryDeadEvery
	}
	if s.TransmitFactor == 0 {
		s.TransmitFactor = DefaultTransmitFactor
	}
	if s.Rotation == 0 {
		s.Rotation = DefaultRotation
	}
	return s
}

func (s Settings) suspicionTimeout(fleetSize int) time.Duration {
	const baseFleet = 10
	scale := math.Max(1, math.Log10(float64(fleetSize)/baseFleet)+1)
	return time.Duration(scale * float64(s.SuspicionTimeout))
}

func (s Settings) transmitLimit(fleetSize int) int {
	return s.TransmitFactor * int(math.Ceil(math.Log2(float64(fleetSize)+1)))
}
