package peer

import (
	"time"

	"geraniumcroft/internal/membership"
)

// Settings are the timers and limits of a Node. Fields that are zero take their defaults.
type Settings struct {
	// SyncPeriod is the time between two rounds of anti-entropy.
	SyncPeriod time.Duration
	// SyncPeers is the number of peers with which one round compares versions.
	SyncPeers int
	// ProbePeriod is the time between two probes.
	ProbePeriod time.Duration
	// CallTimeout bounds one attempt of a small call, including connecting.
	CallTimeout time.Duration
	// TransferTimeout bounds an attempt that may carry a snapshot.
	TransferTimeout time.Duration
	// IndirectProbes is the number of helpers that probe a VM that did not answer.
	IndirectProbes int
	// ViewSize is the number of peers to which a VM keeps connections. If the whole fleet fits the
	// view, changes are pushed to all VMs directly.
	ViewSize int
	// ViewSwapPeriod is the time after which the view of a large fleet replaces one peer.
	ViewSwapPeriod time.Duration
	// RepairPeriod is the least time between two comparisons of the members' digests. If digests
	// differ, all members are exchanged, which repairs what rumours did not reach.
	RepairPeriod time.Duration
	// PushFanout is the number of peers to which a VM of a large fleet pushes a new change. If it
	// is negative, no VM pushes changes and only anti-entropy transfers them.
	PushFanout int
	// ReachableBound is the greatest age of the last answer of a peer for which Reachable is true.
	// It is shorter than the suspicion timeout, so that a VM that is cut off detects it before the
	// others hold it dead and accept changes without it.
	ReachableBound time.Duration
	// LoadExpiry is how long the load of a peer is used. A generation takes some twenty seconds,
	// so most requests that were in flight a few seconds ago still are.
	LoadExpiry time.Duration
	// KeepAlivePeriod is the time between two pings on an idle pooled connection.
	KeepAlivePeriod time.Duration
	// KeepAliveTimeout bounds the time until a ping is answered and until sent data is acknowledged.
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

// The limits of messages, and of the work for them.
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
