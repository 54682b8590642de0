package orders

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"geraniumcroft/internal/harness/standin/vmsim"
)

// confirmAfter is how long the VMs take to confirm a drain.
const confirmAfter = 500 * time.Millisecond

// fakeDrains are the drains of the whole system.
type fakeDrains struct {
	mu    sync.Mutex // guards asked
	asked map[string]time.Time
}

func (d *fakeDrains) confirmed(target string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.asked[target]
	return ok && time.Since(at) >= confirmAfter
}

func (d *fakeDrains) list() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.asked))
}

// fakeDrainer is the Drainer of one VM.
type fakeDrainer struct {
	vm     *vmsim.VM
	drains *fakeDrains
}

func (d fakeDrainer) Drain(_ context.Context, target string) error {
	d.vm.AwaitRunning()
	defer d.vm.AwaitRunning()
	d.drains.mu.Lock()
	defer d.drains.mu.Unlock()
	if _, ok := d.drains.asked[target]; !ok {
		d.drains.asked[target] = time.Now()
	}
	return nil
}

func (d fakeDrainer) Drained(_ context.Context, target string) (bool, error) {
	d.vm.AwaitRunning()
	defer d.vm.AwaitRunning()
	return d.drains.confirmed(target), nil
}

func (d fakeDrainer) Resume(_ context.Context, target string) error {
	d.vm.AwaitRunning()
	defer d.vm.AwaitRunning()
	d.drains.mu.Lock()
	defer d.drains.mu.Unlock()
	delete(d.drains.asked, target)
	return nil
}

func (d fakeDrainer) Draining(context.Context) ([]string, error) {
	d.vm.AwaitRunning()
	defer d.vm.AwaitRunning()
	return d.drains.list(), nil
}
