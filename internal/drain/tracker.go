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
	// ConfigSource provides the configuration with the targets and their states.
	ConfigSource config.Source
	// OnChange, if not nil, is called with the new result of Leaving whenever the result has
	// changed. Calls do not overlap.
	OnChange func(map[string]Cause)
	// Logger may be nil, which discards all messages.
	Logger *zap.Logger
}

// Tracker tracks which targets are leaving and why. It is safe for concurrent use.
type Tracker struct {
	options Options

	mu sync.Mutex // guards the fields below
	// leaving holds the addresses of the machines that the list shows as leaving.
	leaving map[netip.Addr]bool
	// reported holds the targets whose newest load report says that they are leaving.
	reported map[string]bool

	notifyMu sync.Mutex // guards last and serializes the calls of OnChange
	// last is the result of the previous Refresh.
	last map[string]Cause
}

// New returns a Tracker that knows neither a VM list nor a load report yet.
func New(o Options) *Tracker {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	return &Tracker{options: o, leaving: map[netip.Addr]bool{}, reported: map[string]bool{}}
}

// Run reads the platform's list and the configuration once per interval until ctx ends. The
// interval also bounds each read of the list.
func (t *Tracker) Run(ctx context.Context, list platform.VMList, interval time.Duration) {
	for {
		t.poll(ctx, list, interval)
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}

func (t *Tracker) poll(ctx context.Context, list platform.VMList, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	vms, err := list.VMs(ctx)
	if err != nil {
		t.options.Logger.Debug("VM list cannot be read, its last content is used", zap.Error(err))
		t.Refresh()
		return
	}
	t.SetVMs(vms)
}

// SetVMs replaces the platform's list and refreshes the result.
func (t *Tracker) SetVMs(vms []platform.VM) {
	leaving := leavingAddresses(vms)
	t.mu.Lock()
	t.leaving = leaving
	t.mu.Unlock()
	t.Refresh()
}

// Report records a load report of a target. Only the newest report of each target counts.
func (t *Tracker) Report(target string, r engine.LoadReport) {
	t.mu.Lock()
	unchanged := t.reported[target] == r.Leaving
	if r.Leaving {
		t.reported[target] = true
	} else {
		delete(t.reported, target)
	}
	t.mu.Unlock()
	if !unchanged {
		t.Refresh()
	}
}

// Leaving returns the targets of the current configuration that must get no new work, each with its
// reasons.
func (t *Tracker) Leaving() map[string]Cause {
	snapshot := t.options.ConfigSource.Current()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropRemovedTargets(snapshot)
	result := map[string]Cause{}
	for name, target := range snapshot.Targets {
		if cause := t.causeOf(target); cause != 0 {
			result[name] = cause
		}
	}
	return result
}

// causeOf returns the reasons why a target is leaving, 0 if there are none. The caller holds t.mu.
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

// dropRemovedTargets deletes the reports of targets that are not in the configuration, which bounds
// their number. The caller holds t.mu.
func (t *Tracker) dropRemovedTargets(snapshot *config.Snapshot) {
	for name := range t.reported {
		if _, ok := snapshot.Targets[name]; !ok {
			delete(t.reported, name)
		}
	}
}

// Refresh computes the result again and calls OnChange if it has changed. It must be called
// whenever a new configuration snapshot is applied.
func (t *Tracker) Refresh() {
	t.notifyMu.Lock()
	defer t.notifyMu.Unlock()
	now := t.Leaving()
	if t.last != nil && maps.Equal(now, t.last) {
		return
	}
	t.last = now
	if t.options.OnChange != nil {
		t.options.OnChange(maps.Clone(now))
	}
}

// Dump returns the result of Leaving, for the state dump.
func (t *Tracker) Dump() any { return t.Leaving() }
