package resilient

import (
	"cmp"
	"time"
)

// The default budget of the whole fleet: a third of the 300 writes and 2,000 reads per
// second that the table accepts.
const (
	FleetWritesPerSecond = 100.0
	FleetReadsPerSecond  = 666.0
)

// Defaults of Settings.
const (
	DefaultVMs              = 6
	DefaultUrgentWriteShare = 0.75
	DefaultUrgentReadShare  = 0.5
	DefaultBurst            = 16
	DefaultTimeout          = 5 * time.Second
	DefaultAttemptTimeout   = time.Second
	DefaultFailuresToOpen   = 3
	DefaultProbeInterval    = 500 * time.Millisecond
	DefaultProbeTimeout     = time.Second
	DefaultRetryPause       = 10 * time.Millisecond
	DefaultMaxRetryPause    = 500 * time.Millisecond
)

// Settings configures a Client. A zero field takes its default.
type Settings struct {
	// VMs is the number of VMs that share the fleet's budget.
	VMs int
	// WritesPerSecond and ReadsPerSecond are the budget of the whole fleet.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// UrgentWriteShare and UrgentReadShare are the shares, between 0 and 1, reserved for
	// platform.RateClassUrgent. The rest is for platform.RateClassBackground.
	UrgentWriteShare float64
	UrgentReadShare  float64
	// Burst is the upper bound of a rate class's burst, which is otherwise one second's
	// worth of operations.
	Burst int
	// Timeout bounds an operation whose context has no earlier deadline.
	Timeout time.Duration
	// AttemptTimeout bounds each request to a service, so that after a request without a
	// response there is time left to resolve it.
	AttemptTimeout time.Duration
	// FailuresToOpen is the number of consecutive failures that open a circuit.
	FailuresToOpen int
	// ProbeInterval is the time between probes of a service whose circuit is open, and
	// ProbeTimeout bounds each probe.
	ProbeInterval time.Duration
	ProbeTimeout  time.Duration
	// RetryPause is the initial backoff while a lost response is resolved. It increases
	// exponentially up to MaxRetryPause.
	RetryPause    time.Duration
	MaxRetryPause time.Duration
}

func (s Settings) withDefaults() Settings {
	s.VMs = cmp.Or(max(s.VMs, 0), DefaultVMs)
	s.WritesPerSecond = cmp.Or(max(s.WritesPerSecond, 0), FleetWritesPerSecond)
	s.ReadsPerSecond = cmp.Or(max(s.ReadsPerSecond, 0), FleetReadsPerSecond)
	s.UrgentWriteShare = cmp.Or(max(s.UrgentWriteShare, 0), DefaultUrgentWriteShare)
	s.UrgentReadShare = cmp.Or(max(s.UrgentReadShare, 0), DefaultUrgentReadShare)
	s.Burst = cmp.Or(max(s.Burst, 0), DefaultBurst)
	s.Timeout = cmp.Or(max(s.Timeout, 0), DefaultTimeout)
	s.AttemptTimeout = cmp.Or(max(s.AttemptTimeout, 0), DefaultAttemptTimeout)
	s.FailuresToOpen = cmp.Or(max(s.FailuresToOpen, 0), DefaultFailuresToOpen)
	s.ProbeInterval = cmp.Or(max(s.ProbeInterval, 0), DefaultProbeInterval)
	s.ProbeTimeout = cmp.Or(max(s.ProbeTimeout, 0), DefaultProbeTimeout)
	s.RetryPause = cmp.Or(max(s.RetryPause, 0), DefaultRetryPause)
	s.MaxRetryPause = cmp.Or(max(s.MaxRetryPause, 0), DefaultMaxRetryPause)
	return s
}
