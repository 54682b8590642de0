package lease

import (
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/platform"
)

// DefaultTTL is how long a lease lasts after its renewal. With the fractions
// below, a dead holder's duty is taken over after at most
// 5 s + 0.83 s + 0.42 s + 0.42 s = 6.7 s and three round trips to the table, and
// 2.5 s later if nobody is left but VMs that hold two leases already.
const DefaultTTL = 5 * time.Second

const (
	// marginFraction of the TTL is kept off the holder's view. It covers clocks that
	// run at different rates and the time from Check to the act.
	marginFraction = 5
	// renewFraction: a holder renews three times before its view ends, so that one lost
	// renewal ends no view, and two do not if the third is answered at once.
	renewFraction = 4
	// penaltyFraction: a VM that holds a lease leaves the others this much time for
	// each, which is three ticks, so that one that lost a race can try for another.
	penaltyFraction = 4
	// readFraction bounds how late a contender first sees a revision.
	readFraction = 6
	// watchFraction bounds how late a contender first sees a revision whose row tells its age. It
	// need not see each renewal, as it reads again once the lease may have ended by that age. What
	// it may miss for that long is a lease that was handed back: with the hold-off the next
	// holder is there within half a lease.
	watchFraction = 3
	// tickFraction is the granularity of the manager's loop.
	tickFraction = 12
	// readsPerVM spaces the contenders' reads: at n VMs each reads every n*readsPerVM,
	// between TTL/readFraction and TTL, so that the fleet's reads stay at 1/readsPerVM.
	readsPerVM = 20 * time.Millisecond
	// maxPenalties bounds the hold-off of a VM that holds leases already.
	maxPenalties = 2
	// releaseAttempts bounds the writes of one Release.
	releaseAttempts = 3
)

// Options configure a Manager.
type Options struct {
	Table platform.Table
	// VM is this VM's name.
	VM string
	// Duties are the names of the leases to compete for.
	Duties []string
	// TTL is the duration of a lease; 0 takes DefaultTTL.
	TTL time.Duration
	// Clock may be nil for the system's.
	Clock Clock
	// VMs returns how many VMs compete, to space the reads; nil counts as 1.
	VMs func() int
	// Invariants is nil in strict tests only.
	Invariants *invariant.Registry
	// Logger may be nil.
	Logger *zap.Logger

	// hooks are faults that tests plant to show that their checks notice.
	hooks hooks
}

type hooks struct {
	// skipObservation takes a lease over without seeing its duration pass.
	skipObservation bool
	// skipWallClock ignores the wall clock in the holder's view.
	skipWallClock bool
	// trustAmbiguous counts a renewal whose answer was lost.
	trustAmbiguous bool
}

func (o *Options) setDefaults() {
	if o.TTL == 0 {
		o.TTL = DefaultTTL
	}
	if o.Clock == nil {
		o.Clock = NewSystemClock()
	}
	if o.VMs == nil {
		o.VMs = func() int { return 1 }
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
}

func (o *Options) view() time.Duration       { return o.TTL - o.TTL/marginFraction }
func (o *Options) renewEvery() time.Duration { return o.TTL / renewFraction }
func (o *Options) watchEvery() time.Duration { return o.TTL / watchFraction }
func (o *Options) tick() time.Duration       { return o.TTL / tickFraction }
func (o *Options) penalty() time.Duration    { return o.TTL / penaltyFraction }
func (o *Options) callTimeout() time.Duration {
	return o.TTL / marginFraction
}

func (o *Options) readEvery() time.Duration {
	spaced := time.Duration(o.VMs()) * readsPerVM
	return min(max(spaced, o.TTL/readFraction), o.TTL)
}
