package balance

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// The defaults for zero fields of Settings.
const (
	DefaultChoices          = 2
	DefaultUrgentShare      = 0.1
	DefaultNormalShare      = 0.05
	DefaultMinSlotsPerVM    = 2
	DefaultMinSubset        = 12
	DefaultReportFresh      = time.Second
	DefaultReportExpiry     = 10 * time.Second
	DefaultBusyHold         = 250 * time.Millisecond
	DefaultEjectAfter       = 3
	DefaultEjectFor         = time.Second
	DefaultMaxEjectFor      = 30 * time.Second
	DefaultMaxEjectedShare  = 0.34
	DefaultSlowFactor       = 4.0
	DefaultDrainBound       = 2 * time.Second
	DefaultPrefixesPerPool  = 8192
	DefaultPrefixBonus      = 0.5
	DefaultRemotePenalty    = 0.02
	DefaultPrefixTrustDecay = time.Minute
)

// Settings configure a Balancer. A zero field takes its default.
type Settings struct {
	// Gate holds back targets that have asked for it; nil holds back none.
	Gate Gate
	// Choices is how many random targets Pick compares.
	Choices int
	// UrgentShare is the share of a target's slots, at least one slot, that only urgent
	// requests may use.
	UrgentShare float64
	// NormalShare is the share of a target's slots beyond UrgentShare that bulk requests may
	// not use.
	NormalShare float64
	// MinSlotsPerVM is the smallest share of a VM in each target's slots. It determines the
	// size of the subset of targets that a VM uses, which is at least MinSubset.
	MinSlotsPerVM int
	MinSubset     int
	// ReportFresh is the age up to which a report is fully trusted, ReportExpiry the age
	// from which it is not trusted at all.
	ReportFresh  time.Duration
	ReportExpiry time.Duration
	// BusyHold is how long a target that answered busy gets no more requests than it has.
	BusyHold time.Duration
	// EjectAfter is the number of failures in a row after which a target is ejected for
	// EjectFor, doubled with each ejection in a row up to MaxEjectFor.
	EjectAfter  int
	EjectFor    time.Duration
	MaxEjectFor time.Duration
	// MaxEjectedShare limits the ejected share of the targets of a pool that can replace each
	// other.
	MaxEjectedShare float64
	// SlowFactor is the multiple of the median service time of a plain service from which a
	// call counts as slow.
	SlowFactor float64
	// DrainBound is how long after learning of a drain a dispatch is an invariant violation.
	DrainBound time.Duration
	// PrefixesPerPool limits the number of cached prefixes that are stored for a pool.
	PrefixesPerPool int
	// PrefixBonus is subtracted from a target's score, in units of its load, for a fully
	// trusted hit on the longest prefix.
	PrefixBonus float64
	// PrefixTrustDecay is the time without events after which hints are no longer trusted.
	PrefixTrustDecay time.Duration
	// RemotePenalty is added to the score of a target in another data centre.
	RemotePenalty float64
	// OnResult, if not nil, is called with the result of each slot's request, without any
	// lock held. It must not block.
	OnResult func(target string, r Result)

	// random is rand.IntN except in tests.
	random func(n int) int
	faults faults
}

func (s Settings) withDefaults() Settings {
	s.Choices = cmp.Or(s.Choices, DefaultChoices)
	s.UrgentShare = cmp.Or(s.UrgentShare, DefaultUrgentShare)
	s.NormalShare = cmp.Or(s.NormalShare, DefaultNormalShare)
	s.MinSlotsPerVM = cmp.Or(s.MinSlotsPerVM, DefaultMinSlotsPerVM)
	s.MinSubset = cmp.Or(s.MinSubset, DefaultMinSubset)
	s.ReportFresh = cmp.Or(s.ReportFresh, DefaultReportFresh)
	s.ReportExpiry = cmp.Or(s.ReportExpiry, DefaultReportExpiry)
	s.BusyHold = cmp.Or(s.BusyHold, DefaultBusyHold)
	s.EjectAfter = cmp.Or(s.EjectAfter, DefaultEjectAfter)
	s.EjectFor = cmp.Or(s.EjectFor, DefaultEjectFor)
	s.MaxEjectFor = cmp.Or(s.MaxEjectFor, DefaultMaxEjectFor)
	s.MaxEjectedShare = cmp.Or(s.MaxEjectedShare, DefaultMaxEjectedShare)
	s.SlowFactor = cmp.Or(s.SlowFactor, DefaultSlowFactor)
	s.DrainBound = cmp.Or(s.DrainBound, DefaultDrainBound)
	s.PrefixesPerPool = cmp.Or(s.PrefixesPerPool, DefaultPrefixesPerPool)
	s.PrefixBonus = cmp.Or(s.PrefixBonus, DefaultPrefixBonus)
	s.PrefixTrustDecay = cmp.Or(s.PrefixTrustDecay, DefaultPrefixTrustDecay)
	s.RemotePenalty = cmp.Or(s.RemotePenalty, DefaultRemotePenalty)
	if s.Gate == nil {
		s.Gate = openGate{}
	}
	if s.random == nil {
		s.random = rand.IntN
	}
	return s
}
