// Package vmsim is a stand-in for one of the system's VMs, in virtual time: it can be
// paused with its monotonic clock standing still, and its writes to the platform's
// table can be made to hang.
//
// While a VM is paused, each call through it stops at its start or at its end and
// goes on once the VM wakes, as the code of a paused process would.
package vmsim

import (
	"context"
	"sync"
	"time"

	"geraniumcroft/internal/platform"
)

// VM implements platform.Table, over another table, and lease.Clock.
type VM struct {
	Name  string
	table platform.Table
	start time.Time

	mu sync.Mutex // guards the fields below
	// resume is open while the VM is paused, since when the pause began.
	resume chan struct{}
	since  time.Time
	// lost is the time that the monotonic clock missed.
	lost        time.Duration
	hangCommits bool
}

// New returns a running VM.
func New(name string, table platform.Table) *VM {
	return &VM{Name: name, table: table, start: time.Now()}
}

// Now implements lease.Clock.
func (v *VM) Now() (wall time.Time, mono time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	mono = now.Sub(v.start) - v.lost
	if v.resume != nil {
		mono -= now.Sub(v.since)
	}
	return now.Round(0), mono
}

// Pause stops the VM until Wake. A paused VM stays as it is.
func (v *VM) Pause() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.resume == nil {
		v.resume = make(chan struct{})
		v.since = time.Now()
	}
}

// Wake ends a pause.
func (v *VM) Wake() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.resume == nil {
		return
	}
	close(v.resume)
	v.resume = nil
	v.lost += time.Since(v.since)
}

// Running returns once the VM is not paused.
func (v *VM) Running() {
	v.mu.Lock()
	resume := v.resume
	v.mu.Unlock()
	if resume != nil {
		<-resume
	}
}

// HangCommits makes commits end with their context, without an effect or answer.
func (v *VM) HangCommits(hang bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.hangCommits = hang
}

// Commit implements platform.Table.
func (v *VM) Commit(ctx context.Context, txn platform.Txn) error {
	v.Running()
	defer v.Running()
	if v.hangs() {
		<-ctx.Done()
		return &platform.AmbiguousError{TxnID: txn.ID, Cause: ctx.Err()}
	}
	return v.table.Commit(ctx, txn)
}

// Get implements platform.Table.
func (v *VM) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	v.Running()
	defer v.Running()
	return v.table.Get(ctx, keys...)
}

// Scan implements platform.Table.
func (v *VM) Scan(ctx context.Context, from, to string, limit int) ([]platform.Row, error) {
	v.Running()
	defer v.Running()
	return v.table.Scan(ctx, from, to, limit)
}

func (v *VM) hangs() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.hangCommits
}
