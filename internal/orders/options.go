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
	// Refresh brings Source up to what the table holds, before each order. It may be
	// nil where Source is always that.
	Refresh func(ctx context.Context) error
	// IsLeaving tells which targets are about to go and are not worth a load; it may
	// be nil.
	IsLeaving func(target string) bool
	// Invariants is nil in strict tests only.
	Invariants *invariant.Registry
	// Logger may be nil.
	Logger *zap.Logger

	// hooks are faults that tests plant to show that their checks notice.
	hooks hooks
}

type hooks struct {
	// skipCheck sends orders without Lease.Check.
	skipCheck bool
	// skipWait lets a new holder order at once on engines that ignore fencing numbers.
	skipWait bool
	// skipStamp does not tell engines that agree the new fencing number.
	skipStamp bool
	// skipDrain orders without looking at work in hand.
	skipDrain bool
	// repeatBlind sends an order anew while an earlier one is unresolved.
	repeatBlind bool
	// onAgreed is told when a holder declares that an engine agrees.
	onAgreed func(target string, fencing uint64)
}

func (h hooks) agreed(target string, fencing uint64) {
	if h.onAgreed != nil {
		h.onAgreed(target, fencing)
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
