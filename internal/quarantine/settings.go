package quarantine

import "time"

// Settings are the bounds of a Ledger.
type Settings struct {
	// CrashThreshold is under how many ended replicas a request is quarantined.
	CrashThreshold int
	// MinCrashSpacing is the time that must lie between two ends for one fewer to be enough: replicas that
	// crash together for another reason leave the requests on them with ends of the same moment.
	MinCrashSpacing time.Duration
	// CrashWindow is how long a run must have brought events to clear its request. A replica that
	// ends later was not crashed by it.
	CrashWindow time.Duration
	// SuccessTTL is how long a run that went well speaks for its request: no end counts against it
	// meanwhile.
	SuccessTTL time.Duration
	// SuspectSpareReplicas is how many other replicas must be left before a request is sent under which one
	// has ended, for SuspectSpareFor after that. A replica that ended needs seconds to start and load its
	// layers; where there are never more, the request is tried again after that.
	SuspectSpareReplicas int
	SuspectSpareFor      time.Duration
	// SuspectTTL is how long ends below CrashThreshold are remembered.
	SuspectTTL time.Duration
	// QuarantineTTL is how long a request stays quarantined after it was last asked for.
	QuarantineTTL time.Duration
	// MaxRecords bounds the requests that are remembered. Those with the fewest ends go first.
	MaxRecords int
	// MaxSuccesses bounds the requests that are remembered for having run well.
	MaxSuccesses int
}

// DefaultSettings are those of a VM.
var DefaultSettings = Settings{
	CrashThreshold:       3,
	MinCrashSpacing:      2 * time.Second,
	CrashWindow:          300 * time.Millisecond,
	SuccessTTL:           time.Minute,
	SuspectSpareReplicas: 2,
	SuspectSpareFor:      10 * time.Second,
	SuspectTTL:           10 * time.Minute,
	QuarantineTTL:        time.Hour,
	MaxRecords:           1000,
	MaxSuccesses:         4096,
}
