package peer

import (
	"time"

	"geraniumcroft/internal/membership"
)

// Settings are the timers and bounds of a Node. Zero fields take the defaults.
type Settings struct {
	// SyncPeriod is the time between two rounds of anti-entropy.
	SyncPeriod time.Duration
	// SyncPeers is how many peers one round compares versions with.
	SyncPeers int
	// ProbePeriod is the time between two probes.
	ProbePeriod time.Duration
	// CallTimeout bounds one attempt of a small call, connecting included.
	CallTimeout time.Duration
	// TransferTimeout bounds an attempt that may carry a snapshot.
	TransferTimeout time.Duration
	// IndirectProbes is how many helpers probe a VM that did not answer.
	IndirectProbes int
	// ViewSize is how many peers a VM keeps connections to. A fleet in which that
	// is everyone is pushed to directly.
	ViewSize int
	// ViewSwapPeriod is how often a large fleet's view replaces one peer.
	ViewSwapPeriod time.Duration
	// RepairPeriod is the least time between two exchanges of all members, which
	// repair what rumours missed.
	RepairPeriod time.Duration
	// PushFanout is how many peers a VM of a large fleet pushes a new change to; a
	// negative one leaves all to anti-entropy.
	PushFanout int
	// ReachableBound is how fresh the last answer of a peer must be for Reachable. It
	// is shorter than the suspicion timeout, so a VM that is cut off knows it before
	// the others hold it dead and accept changes without it.
	ReachableBound time.Duration
	// LoadExpiry is how long a peer's load is believed. A generation takes some
	// twenty seconds, so what was in flight a few seconds ago mostly still is.
	LoadExpiry time.Duration
	// KeepAlivePeriod is the time between two pings on an idle kept connection.
	KeepAlivePeriod time.Duration
	// KeepAliveTimeout bounds the answer to a ping and unacknowledged data.
	KeepAliveTimeout time.Duration
	Membership       membership.Settings
}

// The defaults of Settings.
const (
	DefaultSyncPeriod       = time.Second
	DefaultSyncPeers        = 2
	DefaultProbePeriod      = time.Second
	DefaultCallTimeout      = 500 * time.Millisecond
	DefaultTransferTimeout  = 5 * time.Second
	DefaultIndirectProbes   = 3
	DefaultViewSize         = 16
	DefaultViewSwapPeriod   = 10 * time.Second
	DefaultRepairPeriod     = 5 * time.Second
	DefaultPushFanout       = 4
	DefaultReachableBound   = 3 * time.Second
	DefaultLoadExpiry       = 15 * time.Second
	DefaultKeepAlivePeriod  = 10 * time.Second
	DefaultKeepAliveTimeout = 3 * time.Second
)

// The bounds of messages.
const (
	maxMessageBytes      = 64 << 20
	maxChangesPerMessage = 512
	maxSyncUpdates       = 160
	maxProbeUpdates      = 24
	maxUpdatesAccepted   = 4096
	maxLoadPerMessage    = 128
	maxTransfers         = 64
	maxConcurrentProbes  = 8
)

func (s Settings) withDefaults() Settings {
	setDefault(&s.SyncPeriod, DefaultSyncPeriod)
	setDefault(&s.SyncPeers, DefaultSyncPeers)
	setDefault(&s.ProbePeriod, DefaultProbePeriod)
	setDefault(&s.CallTimeout, DefaultCallTimeout)
	setDefault(&s.TransferTimeout, DefaultTransferTimeout)
	setDefault(&s.IndirectProbes, DefaultIndirectProbes)
	setDefault(&s.ViewSize, DefaultViewSize)
	setDefault(&s.ViewSwapPeriod, DefaultViewSwapPeriod)
	setDefault(&s.RepairPeriod, DefaultRepairPeriod)
	setDefault(&s.PushFanout, DefaultPushFanout)
	setDefault(&s.ReachableBound, DefaultReachableBound)
	setDefault(&s.LoadExpiry, DefaultLoadExpiry)
	setDefault(&s.KeepAlivePeriod, DefaultKeepAlivePeriod)
	setDefault(&s.KeepAliveTimeout, DefaultKeepAliveTimeout)
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
