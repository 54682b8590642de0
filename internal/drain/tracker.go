package drain

import (
	"context"
	"maps"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/platform"
)

// Options configure a Tracker.
type Options struct {
	ConfigSource config.Source
	// OnChange, if not nil, is called with the new result whenever it differs; calls
	// do not overlap.
	OnChange func(map[string]Cause)
	// Logger may be nil.
	Logger *zap.Logger
}

// Tracker knows which targets are leaving. It is safe for concurrent use.
type Tracker struct {
	options Options

	mu sync.Mutex // guards the fields below
	// leaving holds the addresses of the machines that the list shows as leaving.
	leaving  map[netip.Addr]bool
	reported map[string]bool

	notifying sync.Mutex // guards last and orders the calls of OnChange
	last      map[string]Cause
}

// New returns a tracker.
func New(o Options) *Tracker {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	return &Tracker{options: o, leaving: map[netip.Addr]bool{}, reported: map[string]bool{}}
}

// Run reads the platform's list at an interval until ctx ends, and looks at the
// configuration as often.
func (t *Tracker) Run(ctx context.Context, list platform.VMList, every time.Duration) {
	for {
		t.poll(ctx, list, every)
		select {
		case <-ctx.Done():
			return
		case <-time.After(every):
		}
	}
}

func (t *Tracker) poll(ctx context.Context, list platform.VMList, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	vms, err := list.VMs(ctx)
	if err != nil {
		t.options.Logger.Debug("VM list cannot be read, the last one stands", zap.Error(err))
		t.Refresh()
		return
	}
	t.SetVMs(vms)
}

// SetVMs takes in the platform's list.
func (t *Tracker) SetVMs(vms []platform.VM) {
	leaving := leavingAddresses(vms)
	t.mu.Lock()
	t.leaving = leaving
	t.mu.Unlock()
	t.Refresh()
}

// Report takes in a load report of a target. The newest one counts.
func (t *Tracker) Report(target string, r engine.LoadReport) {
	t.mu.Lock()
	same := t.reported[target] == r.Leaving
	if r.Leaving {
		t.reported[target] = true
	} else {
		delete(t.reported, target)
	}
	t.mu.Unlock()
	if !same {
		t.Refresh()
	}
}

// Leaving returns the targets of the present configuration that are to get no new
// work, each with the reasons.
func (t *Tracker) Leaving() map[string]Cause {
	snapshot := t.options.ConfigSource.Current()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetGone(snapshot)
	result := map[string]Cause{}
	for name, target := range snapshot.Targets {
		if cause := t.causeOf(target); cause != 0 {
			result[name] = cause
		}
	}
	return result
}

func (t *Tracker) causeOf(target *config.Target) Cause {
	var cause Cause
	if target.State == config.StateDraining {
		cause |= CauseOperator
	}
	if address, err := netip.ParseAddrPort(target.Address); err == nil && t.leaving[address.Addr().Unmap()] {
		cause |= CauseVMList
	}
	if t.reported[target.Name] {
		cause |= CauseReport
	}
	return cause
}

// forgetGone bounds the reports kept by the targets that are configured.
func (t *Tracker) forgetGone(snapshot *config.Snapshot) {
	for name := range t.reported {
		if _, ok := snapshot.Targets[name]; !ok {
			delete(t.reported, name)
		}
	}
}

// Refresh calls OnChange if the result differs from the last one. It is to be
// called when a new snapshot is applied.
func (t *Tracker) Refresh() {
	t.notifying.Lock()
	defer t.notifying.Unlock()
	now := t.Leaving()
	if t.last != nil && maps.Equal(now, t.last) {
		return
	}
	t.last = now
	if t.options.OnChange != nil {
		t.options.OnChange(maps.Clone(now))
	}
}

// Dump returns the targets that are leaving, with the reasons.
func (t *Tracker) Dump() any { return t.Leaving() }
