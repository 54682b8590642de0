package allocator

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/test/bufconn"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/layers"
)

// fakeReserver is a Reserver of a table with one replica that holds the whole model.
type fakeReserver struct {
	table *layers.Table
	wait  func(ctx context.Context) error // called before a path is reserved
	live  atomic.Int64                    // reservations that are not released
	// freeze, if set, stops the session at the next rejection until it is closed.
	freeze chan struct{}
}

func newFakeReserver() *fakeReserver {
	f := &fakeReserver{table: layers.NewTable(), wait: func(context.Context) error { return nil }}
	f.table.Update(&layers.Spec{Layers: 4, KVBytes: 1, Slots: 64, Accelerators: map[string]layers.Accelerator{"a": {MemoryMB: 1, StepTimeFactor: 1, PrefillTimeFactor: 1}}},
		[]layers.Replica{{ID: "r", Born: 1, Kind: "a", Held: config.LayerRange{To: 4}}})
	return f
}

func (f *fakeReserver) Reserve(ctx context.Context, r Request) (*layers.Reservation, error) {
	if err := f.wait(ctx); err != nil {
		return nil, err
	}
	return f.count(f.table.Reserve(layers.Query{Prompt: r.Prompt}))
}

func (f *fakeReserver) Adopt(h Hold) (*layers.Reservation, error) {
	return f.count(f.table.AdoptRunning(layers.Query{Prompt: h.Prompt}, PathOf(h.Path)))
}

func (f *fakeReserver) RecordRejection(Rejection) {
	if f.freeze != nil {
		<-f.freeze
	}
}

func (f *fakeReserver) count(r *layers.Reservation, err error) (*layers.Reservation, error) {
	if err == nil {
		f.live.Add(1)
		r.OnRelease(func(bool) { f.live.Add(-1) })
	}
	return r, err
}

// fakeVM is a VM that may be the allocator of others, behind a gRPC connection within the process.
type fakeVM struct {
	*Server
	reserver *fakeReserver
	host     *grpc.Server
	listener *bufconn.Listener
}

func newFakeVM() *fakeVM {
	vm := &fakeVM{reserver: newFakeReserver(), host: grpc.NewServer(), listener: bufconn.Listen(1 << 16)}
	vm.Server = NewServer(vm.reserver, func() bool { return false }, zap.NewNop())
	vm.Register(vm.host)
	go func() { _ = vm.host.Serve(vm.listener) }()
	return vm
}

// fakeVMs are the VMs of a data centre by address.
type fakeVMs map[string]*fakeVM

// expect checks the number of paths and waiting requests of other VMs, and that of reservations.
func (vm *fakeVM) expect(t *testing.T, held, live int64) {
	t.Helper()
	synctest.Wait()
	if vm.Dump().Held != held || vm.reserver.live.Load() != live {
		t.Errorf("%d paths held with %d reservations, want %d with %d", vm.Dump().Held, vm.reserver.live.Load(), held, live)
	}
}

// Guards against reservations and goroutines that outlast a VM. The test fails if a goroutine is left.
func TestSessionEndReleasesPathsAndWaitingRequests(t *testing.T) {
	testClient(t, func(t *testing.T, vms fakeVMs, c *Client) {
		reserve(t, c, "a")
		vms["a"].reserver.wait = func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }
		go func() { _, _ = c.Reserve(t.Context(), Request{MaxWait: time.Hour}) }()
		vms["a"].expect(t, 2, 1)
		c.Close()
		vms["a"].expect(t, 0, 0)
	})
}

// Guards against a lost reservation where a path is found after the VM has withdrawn its request.
func TestSessionReleasesPathOfWithdrawnRequest(t *testing.T) {
	testClient(t, func(t *testing.T, vms fakeVMs, c *Client) {
		withdrawn := false
		vms["a"].reserver.wait = func(ctx context.Context) error { <-ctx.Done(); withdrawn = true; return nil }
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err := c.Reserve(ctx, Request{MaxWait: time.Second})
		vms["a"].expect(t, 0, 0)
		if err == nil || !withdrawn || c.Allocator() != "a" {
			t.Errorf("got %v from %q, withdrawn: %t", err, c.Allocator(), withdrawn)
		}
	})
}
