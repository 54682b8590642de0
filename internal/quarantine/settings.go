package quarantine

import "time"

// Settings are the bounds of a Ledger.
type Settings struct {
	// MaxEnds is under how many ended replicas a request is quarantined.
	MaxEnds int
	// Apart is the time that must lie between two ends for one fewer to be enough: replicas that
	// crash together for another reason leave the requests on them with ends of the same moment.
	Apart time.Duration
	// YoungRun is how long a run must have brought events to clear its request. A replica that
	// ends later was not crashed by it.
	YoungRun time.Duration
	// WellFor is how long a run that went well speaks for its request: no end counts against it
	// meanwhile.
	WellFor time.Duration
	// SuspectSpare is how many other replicas must be left before a request is sent under which one
	// has ended, for SuspectWait after that. A replica that ended needs seconds to start and load its
	// layers; where there are never more, the request is tried again after that.
	SuspectSpare int
	SuspectWait  time.Duration
	// SuspectFor is how long ends below MaxEnds are remembered.
	SuspectFor time.Duration
	// HoldFor is how long a request stays quarantined after it was last asked for.
	HoldFor time.Duration
	// MaxCases bounds the requests that are remembered. Those with the fewest ends go first.
	MaxCases int
	// MaxWell bounds the requests that are remembered for having run well.
	MaxWell int
}

// DefaultSettings are those of a VM.
var DefaultSettings = Settings{
	MaxEnds:      3,
	Apart:        2 * time.Second,
	YoungRun:     300 * time.Millisecond,
	WellFor:      time.Minute,
	SuspectSpare: 2,
	SuspectWait:  10 * time.Second,
	SuspectFor:   10 * time.Minute,
	HoldFor:      time.Hour,
	MaxCases:     1000,
	MaxWell:      4096,
}
