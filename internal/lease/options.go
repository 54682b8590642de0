package lease

import (
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/platform"
)

// DefaultTTL is how long a lease lasts after its renewal. With the divisors below, the duty of a
// dead holder is taken over after at most 5 s + 0.83 s + 0.42 s + 0.42 s = 6.7 s and three round
// trips to the table, and 2.5 s later if all remaining VMs already hold two leases.
const DefaultTTL = 5 * time.Second

const (
	// TTL/marginDivisor is the margin by which the holder's view is shorter than the lease. It
	// covers clocks that run at different rates and the time from Check to the act.
	marginDivisor = 5
	// TTL/renewDivisor is the renewal interval. A holder renews three times before its view ends,
	// so that one lost renewal does not end the view, and two do not if the third is answered at
	// once.
	renewDivisor = 4
	// TTL/penaltyDivisor is the hold-off of a VM for each lease that it holds. This is three
	// ticks, so that a VM that has lost a race can try for another lease.
	penaltyDivisor = 4
	// TTL/readDivisor bounds how late a contender first sees a revision.
	readDivisor = 6
	// TTL/watchDivisor bounds how late a contender first sees a revision whose row shows its age.
	// It need not see each renewal, because it reads again once the lease may have ended by that
	// age. What it may miss for that long is a released lease: including the hold-off, the next
	// holder acts within half a lease.
	watchDivisor = 3
	// TTL/tickDivisor is the interval of the steps of Run.
	tickDivisor = 12
	// readSpacingPerVM spaces the contenders' reads: in a fleet of n VMs each reads every
	// n*readSpacingPerVM, but at least TTL/readDivisor and at most TTL apart, so that the whole
	// fleet makes one read per readSpacingPerVM.
	readSpacingPerVM = 20 * time.Millisecond
	// maxPenalties bounds the number of held leases that count for the hold-off.
	maxPenalties = 2
	// releaseAttempts bounds the attempts of one Release.
	releaseAttempts = 3
)

// Options configure a Manager.
type Options struct {
	Table platform.Table
	// VM is this VM's name.
	VM string
	// Duties are the names of the duties whose leases the VM competes for.
	Duties []string
	// TTL is the duration of a lease; 0 means DefaultTTL.
	TTL time.Duration
	// Clock is the VM's clock; nil means the system clock.
	Clock Clock
	// Era returns the newest era of the table that this VM has heard of; nil means that there is only
	// one.
	Era func() uint64
	// FirstStart says that the whole system starts for the first time, so that nobody can hold a
	// lease that has no row.
	FirstStart bool
	// VMs returns how many VMs compete, which determines the interval of the reads; nil means 1.
	VMs func() int
	// Invariants is nil only in tests, where a violation then panics.
	Invariants *invariant.Registry
	// Logger may be nil.
	Logger *zap.Logger

	// hooks are faults that tests inject to show that their checks detect them.
	hooks hooks
}

type hooks struct {
	// skipObservation takes over a lease without observing it for its duration.
	skipObservation bool
	// skipWallClock ignores the wall clock when it checks the holder's view.
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
	if o.Era == nil {
		o.Era = func() uint64 { return 0 }
	}
	if o.VMs == nil {
		o.VMs = func() int { return 1 }
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
}

func (o *Options) viewDuration() time.Duration { return o.TTL - o.TTL/marginDivisor }
func (o *Options) renewEvery() time.Duration   { return o.TTL / renewDivisor }
func (o *Options) watchEvery() time.Duration   { return o.TTL / watchDivisor }
func (o *Options) tick() time.Duration         { return o.TTL / tickDivisor }
func (o *Options) penalty() time.Duration      { return o.TTL / penaltyDivisor }
func (o *Options) callTimeout() time.Duration {
	return o.TTL / marginDivisor
}

func (o *Options) readEvery() time.Duration {
	spaced := time.Duration(o.VMs()) * readSpacingPerVM
	return min(max(spaced, o.TTL/readDivisor), o.TTL)
}
