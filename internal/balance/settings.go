package balance

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// The values that a zero field of Settings takes.
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

// Settings tune the choice. A zero field takes its default.
type Settings struct {
	// Gate holds targets back that have asked for it; nil holds back none.
	Gate Gate
	// Choices is how many random targets Pick compares.
	Choices int
	// UrgentShare of a target's slots, at least one, is for urgent requests only.
	UrgentShare float64
	// NormalShare of a target's slots is closed to bulk beyond UrgentShare.
	NormalShare float64
	// MinSlotsPerVM is the floor of a VM's share of each target's slots; it sizes
	// the subset of targets that a VM uses. MinSubset is the subset's least size.
	MinSlotsPerVM int
	MinSubset     int
	// ReportFresh is the age up to which a report is trusted in full, and
	// ReportExpiry the age from which it is not trusted at all.
	ReportFresh  time.Duration
	ReportExpiry time.Duration
	// BusyHold is how long a target that answered busy gets no more than it has.
	BusyHold time.Duration
	// EjectAfter failures in a row eject a target for EjectFor, doubled with each
	// ejection in a row up to MaxEjectFor.
	EjectAfter  int
	EjectFor    time.Duration
	MaxEjectFor time.Duration
	// MaxEjectedShare bounds the ejected share of the targets of a pool that can
	// stand in for each other.
	MaxEjectedShare float64
	// SlowFactor is how many times the usual time of a plain service's calls makes
	// a call count as slow.
	SlowFactor float64
	// DrainBound is how long after learning of a drain a dispatch is a violation.
	DrainBound time.Duration
	// PrefixesPerPool bounds the cached prefixes that are remembered for a pool.
	PrefixesPerPool int
	// PrefixBonus is what a fully trusted hit on the longest prefix takes off a
	// target's score, in units of its load.
	PrefixBonus float64
	// PrefixTrustDecay is the time without events after which hints count nothing.
	PrefixTrustDecay time.Duration
	// RemotePenalty is added to the score of a target in another data centre.
	RemotePenalty float64
	// OnResult, when not nil, is told how each slot's work went, outside of all
	// locks; it must not block.
	OnResult func(target string, r Result)

	// random is rand.IntN but in tests.
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
