package orders

import (
	"context"

	"go.uber.org/zap"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/invariant"
)

// Options configure a Controller.
type Options struct {
	ConfigSource config.Source
	Leases       Leases
	Engines      Engines
	Drainer      Drainer
	Settings     Settings
	// Refresh updates ConfigSource to what the table holds, before each order. It may be nil if
	// ConfigSource is always up to date.
	Refresh func(ctx context.Context) error
	// IsLeaving reports whether a target is about to leave, so that a load is not worth it. It
	// may be nil.
	IsLeaving func(target string) bool
	// Invariants may be nil only in tests, where a violation then panics.
	Invariants *invariant.Registry
	// Logger may be nil.
	Logger *zap.Logger

	// hooks are faults that tests inject to show that their checks detect them.
	hooks hooks
}

type hooks struct {
	// skipLeaseCheck sends orders without Lease.Check.
	skipLeaseCheck bool
	// skipOldOrderWait lets a new holder send orders at once to engines that ignore fencing
	// numbers.
	skipOldOrderWait bool
	// skipFencingUpdate does not send the new fencing number to engines that match their entry.
	skipFencingUpdate bool
	// skipDrain sends orders without a drain and without a check for running requests.
	skipDrain bool
	// resendUnresolved sends another order while an earlier one is unresolved.
	resendUnresolved bool
	// onMatch is called when a holder finds that an engine matches its entry.
	onMatch func(target string, fencing uint64)
}

func (h hooks) matched(target string, fencing uint64) {
	if h.onMatch != nil {
		h.onMatch(target, fencing)
	}
}

func (o *Options) setDefaults() {
	o.Settings.setDefaults()
	if o.Refresh == nil {
		o.Refresh = func(context.Context) error { return nil }
	}
	if o.IsLeaving == nil {
		o.IsLeaving = func(string) bool { return false }
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
}
