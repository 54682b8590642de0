package membership

import (
	"math"
	"time"
)

// Settings are the timeouts and bounds of a Table. Zero fields take the defaults.
type Settings struct {
	// SuspicionTimeout is how long a suspected VM has to refute, in a fleet of up to
	// ten VMs; it grows with the logarithm of the fleet, as the rumour's way does.
	SuspicionTimeout time.Duration
	// Retention is how long a dead VM is remembered and tried. It covers a
	// partition between regions.
	Retention time.Duration
	// RetryDeadEvery makes each n-th probe go to a dead VM.
	RetryDeadEvery int
	// TransmitFactor times log2 of the fleet is how often a rumour is passed on.
	TransmitFactor int
	// Rotation is how many members go with each message besides the rumours, to
	// repair what the rumours missed.
	Rotation int
}

// The defaults of Settings.
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

func (s Settings) suspicion(fleet int) time.Duration {
	const baseFleet = 10
	scale := math.Max(1, math.Log10(float64(fleet)/baseFleet)+1)
	return time.Duration(scale * float64(s.SuspicionTimeout))
}

func (s Settings) transmits(fleet int) int {
	return s.TransmitFactor * int(math.Ceil(math.Log2(float64(fleet)+1)))
}
