package fleettest

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/harness/standin/enginesim"
	"geraniumcroft/internal/harness/standin/pipenet"
	"geraniumcroft/internal/orders"
	"geraniumcroft/internal/platform"
)

// platformClient is one VM's client of the platform. While the VM is cut off from the
// platform, operations have no effect and get no response.
type platformClient struct {
	world *world
	vm    *vm
	// replica is a copy of the table from the first read after the VM was cut off.
	replica atomic.Pointer[map[string]platform.Row]
}

func (c *platformClient) isCut() bool { return c.vm.dead.Load() || c.vm.storeCut.Load() }

// Commit implements platform.Table.
func (c *platformClient) Commit(ctx context.Context, txn platform.Txn) error {
	if c.isCut() {
		<-ctx.Done()
		return &platform.AmbiguousError{TxnID: txn.ID, Cause: ctx.Err()}
	}
	if c.world.planted.noConditions && strings.HasPrefix(txn.Writes[0].Key, changesFrom) {
		txn.Conditions = nil
	}
	return c.world.store.Commit(ctx, txn)
}

// Get implements platform.Table.
func (c *platformClient) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if c.isCut() {
		return c.readReplica(ctx, keys)
	}
	c.replica.Store(nil)
	return c.world.store.Get(ctx, keys...)
}

// readReplica is a read while the VM is cut off. It gets no response, except with the
// planted fault serveCutOff, which reads from a copy of the table.
func (c *platformClient) readReplica(ctx context.Context, keys []string) ([]platform.Row, error) {
	if !c.world.planted.serveCutOff || c.vm.dead.Load() {
		return nil, c.awaitTimeout(ctx)
	}
	if c.replica.Load() == nil {
		rows := c.world.peekAll("", "~")
		c.replica.Store(&rows)
	}
	var found []platform.Row
	for _, key := range keys {
		row, ok := (*c.replica.Load())[key]
		if !ok {
			row.Key = key
		}
		found = append(found, row)
	}
	return found, nil
}

func (w *world) peekAll(from, to string) map[string]platform.Row {
	rows := map[string]platform.Row{}
	for _, key := range w.store.PeekKeys(from, to) {
		rows[key] = w.store.Peek(key)
	}
	return rows
}

// Scan implements platform.Table.
func (c *platformClient) Scan(ctx context.Context, from, to string, limit int) ([]platform.Row, error) {
	if c.isCut() {
		return nil, c.awaitTimeout(ctx)
	}
	if c.world.planted.noVMRows && from == vmRowsFrom {
		return nil, nil
	}
	return c.world.store.Scan(ctx, from, to, limit)
}

// Put implements platform.Objects.
func (c *platformClient) Put(ctx context.Context, name string, body []byte) error {
	if c.isCut() {
		return c.awaitTimeout(ctx)
	}
	return c.world.store.Put(ctx, name, body)
}

// Fetch implements platform.Objects.
func (c *platformClient) Fetch(ctx context.Context, name string) ([]byte, error) {
	if c.isCut() {
		return nil, c.awaitTimeout(ctx)
	}
	return c.world.store.Fetch(ctx, name)
}

// VMs implements platform.VMList.
func (c *platformClient) VMs(ctx context.Context) ([]platform.VM, error) {
	if c.isCut() {
		return nil, c.awaitTimeout(ctx)
	}
	return c.world.store.VMs(ctx)
}

// awaitTimeout waits until ctx ends and returns the error of an operation without a
// response.
func (c *platformClient) awaitTimeout(ctx context.Context) error {
	<-ctx.Done()
	return &platform.UnavailableError{Operation: "cut off", Cause: ctx.Err()}
}

// engineClient is the engine.Client of one VM.
type engineClient struct {
	*enginesim.DirectClient
	world *world
	vm    *vm
}

func (c *engineClient) refused(address string) error {
	if c.vm.dead.Load() {
		return &engine.OpenError{Address: address, Cause: pipenet.ErrRefused}
	}
	return nil
}

// Open implements engine.Client.
func (c *engineClient) Open(ctx context.Context, address string, open engine.StageOpen) (engine.Stream, error) {
	if err := c.refused(address); err != nil {
		return nil, err
	}
	c.world.sends.add(send{vm: c.vm.name, request: open.RequestID, address: address, at: time.Now()})
	return c.DirectClient.Open(ctx, address, open)
}

// State implements engine.Client. The planted fault hideWork hides active requests.
func (c *engineClient) State(ctx context.Context, address string) (engine.State, error) {
	if c.vm.dead.Load() {
		return engine.State{}, pipenet.ErrRefused
	}
	state, err := c.DirectClient.State(ctx, address)
	if c.world.planted.hideWork {
		state.Active = 0
	}
	return state, err
}

// Order implements engine.Client. It checks the order against the lease's row.
func (c *engineClient) Order(ctx context.Context, address string, order engine.Order) error {
	if c.vm.dead.Load() {
		return &engine.OrderError{Address: address, Cause: pipenet.ErrRefused}
	}
	c.world.orders.check(c.world, c.vm, address, order)
	return c.DirectClient.Order(ctx, address, order)
}

// ordersSeen records which VM used each fencing number.
type ordersSeen struct {
	mu     sync.Mutex // guards the fields below
	holder map[uint64]*vm
	count  int
}

// check checks that the sender of an order holds the lease: the fencing number must be
// the current one in the table, and no other VM may have used it.
func (o *ordersSeen) check(w *world, sender *vm, address string, order engine.Order) {
	row := leaseRow(w.store, orders.Duty)
	if order.Fencing != row.Fencing {
		w.problemf("%s ordered %s with fencing number %d while the lease is at %d", sender.name, address, order.Fencing, row.Fencing)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.count++
	if first := o.holder[order.Fencing]; first != nil && first != sender {
		w.problemf("%s and %s both ordered with fencing number %d", first.name, sender.name, order.Fencing)
	}
	o.holder[order.Fencing] = sender
}

// send records that a VM sent a request to a target.
type send struct {
	vm, request, address string
	at                   time.Time
}

// sends holds all sends of a run. It is safe for concurrent use.
type sends struct {
	mu  sync.Mutex // guards all
	all []send
}

func (s *sends) add(sent send) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, sent)
}

func (s send) String() string {
	return fmt.Sprintf("%s sent %s to %s", s.vm, s.request, s.address)
}
