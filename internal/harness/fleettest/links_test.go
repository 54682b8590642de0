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

// platformLink is one VM's way to the platform. While it is cut nothing arrives
// and nothing is answered.
type platformLink struct {
	world *world
	vm    *vm
	// replica is the table as it was when the VM was cut off.
	replica atomic.Pointer[map[string]platform.Row]
}

func (l *platformLink) cut() bool { return l.vm.severed.Load() || l.vm.storeCut.Load() }

// Commit implements platform.Table.
func (l *platformLink) Commit(ctx context.Context, txn platform.Txn) error {
	if l.cut() {
		<-ctx.Done()
		return &platform.AmbiguousError{TxnID: txn.ID, Cause: ctx.Err()}
	}
	if l.world.planted.noConditions && strings.HasPrefix(txn.Writes[0].Key, changesFrom) {
		txn.Conditions = nil
	}
	return l.world.store.Commit(ctx, txn)
}

// Get implements platform.Table.
func (l *platformLink) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if l.cut() {
		return l.stale(ctx, keys)
	}
	l.replica.Store(nil)
	return l.world.store.Get(ctx, keys...)
}

// stale is a read that nobody answers, but for the planted fault: a replica of the
// table that was cut off with the VM.
func (l *platformLink) stale(ctx context.Context, keys []string) ([]platform.Row, error) {
	if !l.world.planted.servesCutOff || l.vm.severed.Load() {
		return nil, l.lost(ctx)
	}
	if l.replica.Load() == nil {
		rows := l.world.peekAll("", "~")
		l.replica.Store(&rows)
	}
	var found []platform.Row
	for _, key := range keys {
		row, ok := (*l.replica.Load())[key]
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
func (l *platformLink) Scan(ctx context.Context, from, to string, limit int) ([]platform.Row, error) {
	if l.cut() {
		return nil, l.lost(ctx)
	}
	if l.world.planted.noRoster && from == rosterFrom {
		return nil, nil
	}
	return l.world.store.Scan(ctx, from, to, limit)
}

// Put implements platform.Objects.
func (l *platformLink) Put(ctx context.Context, name string, body []byte) error {
	if l.cut() {
		return l.lost(ctx)
	}
	return l.world.store.Put(ctx, name, body)
}

// Fetch implements platform.Objects.
func (l *platformLink) Fetch(ctx context.Context, name string) ([]byte, error) {
	if l.cut() {
		return nil, l.lost(ctx)
	}
	return l.world.store.Fetch(ctx, name)
}

// VMs implements platform.VMList.
func (l *platformLink) VMs(ctx context.Context) ([]platform.VM, error) {
	if l.cut() {
		return nil, l.lost(ctx)
	}
	return l.world.store.VMs(ctx)
}

// lost waits for an answer that does not come.
func (l *platformLink) lost(ctx context.Context) error {
	<-ctx.Done()
	return &platform.UnavailableError{Operation: "cut off", Cause: ctx.Err()}
}

// engineLink is one VM's way to the engines.
type engineLink struct {
	*enginesim.DirectClient
	world *world
	vm    *vm
}

func (l *engineLink) refused(address string) error {
	if l.vm.severed.Load() {
		return &engine.OpenError{Address: address, Cause: pipenet.ErrRefused}
	}
	return nil
}

// Open implements engine.Client.
func (l *engineLink) Open(ctx context.Context, address string, open engine.StageOpen) (engine.Stream, error) {
	if err := l.refused(address); err != nil {
		return nil, err
	}
	l.world.sends.add(send{vm: l.vm.name, request: open.RequestID, address: address, at: time.Now()})
	return l.DirectClient.Open(ctx, address, open)
}

// State implements engine.Client. The planted fault hides work in hand.
func (l *engineLink) State(ctx context.Context, address string) (engine.State, error) {
	if l.vm.severed.Load() {
		return engine.State{}, pipenet.ErrRefused
	}
	state, err := l.DirectClient.State(ctx, address)
	if l.world.planted.hidesWork {
		state.Active = 0
	}
	return state, err
}

// Order implements engine.Client and judges the order against the lease's row.
func (l *engineLink) Order(ctx context.Context, address string, order engine.Order) error {
	if l.vm.severed.Load() {
		return &engine.OrderError{Address: address, Cause: pipenet.ErrRefused}
	}
	l.world.orders.judge(l.world, l.vm, address, order)
	return l.DirectClient.Order(ctx, address, order)
}

// ordersSeen knows whose each fencing number is.
type ordersSeen struct {
	mu     sync.Mutex // guards the fields below
	holder map[uint64]*vm
	count  int
}

// judge objects to an order without the lease: its fencing number must be the one
// in the table at this moment, and one VM's alone.
func (o *ordersSeen) judge(w *world, sender *vm, address string, order engine.Order) {
	row := leaseRow(w.store, orders.Duty)
	if order.Fencing != row.Fencing {
		w.wrong("%s ordered %s with fencing number %d while the lease is at %d", sender.name, address, order.Fencing, row.Fencing)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.count++
	if first := o.holder[order.Fencing]; first != nil && first != sender {
		w.wrong("%s and %s both ordered with fencing number %d", first.name, sender.name, order.Fencing)
	}
	o.holder[order.Fencing] = sender
}

// send is one request that a VM sent to a target.
type send struct {
	vm, request, address string
	at                   time.Time
}

// sends records them.
type sends struct {
	mu  sync.Mutex // guards all
	all []send
}

func (s *sends) add(one send) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, one)
}

func (s send) String() string {
	return fmt.Sprintf("%s sent %s to %s", s.vm, s.request, s.address)
}
