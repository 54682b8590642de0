package quarantine

import "time"

// Settings holds the thresholds, lifetimes and size limits of a Ledger.
type Settings struct {
	// CrashThreshold is the number of crashed replicas at which a request is quarantined.
	CrashThreshold int
	// MinCrashSpacing is the time between the first and the last crash from which one crash fewer than
	// CrashThreshold is enough. Replicas that crash together for another reason give the requests on
	// them crashes at almost the same time, which is no evidence against these requests.
	MinCrashSpacing time.Duration
	// CrashWindow is how long a run must have produced events to clear its request. A crash of the
	// replica after that is not attributed to the run.
	CrashWindow time.Duration
	// SuccessTTL is how long a successful run excuses a later crash, MaxExcuses the number of crashes that
	// a VM excuses at most. A request that crashes most of the replicas that run it, but not all, is
	// quarantined nevertheless.
	SuccessTTL time.Duration
	MaxExcuses int
	// SuspectSpareReplicas is the number of other available replicas that a suspected request needs
	// before it is sent. It applies for SuspectSpareFor after the last crash: a crashed replica needs
	// seconds to start and load its layers. Where there are never that many replicas, the request is
	// sent again after SuspectSpareFor.
	SuspectSpareReplicas int
	SuspectSpareFor      time.Duration
	// SuspectTTL is how long crashes that are too few to quarantine a request are remembered.
	SuspectTTL time.Duration
	// QuarantineTTL is how long a request stays quarantined after a caller last sent it.
	QuarantineTTL time.Duration
	// MaxRecords limits the number of requests with crashes that are remembered. The requests with the
	// fewest crashes are evicted first.
	MaxRecords int
	// MaxSuccesses limits the number of requests whose last successful run is remembered.
	MaxSuccesses int
}

// DefaultSettings are the settings of a VM.
var DefaultSettings = Settings{
	CrashThreshold:       3,
	MinCrashSpacing:      2 * time.Second,
	CrashWindow:          300 * time.Millisecond,
	SuccessTTL:           time.Minute,
	MaxExcuses:           4,
	SuspectSpareReplicas: 2,
	SuspectSpareFor:      10 * time.Second,
	SuspectTTL:           10 * time.Minute,
	QuarantineTTL:        time.Hour,
	MaxRecords:           2000,
	MaxSuccesses:         16384,
}
