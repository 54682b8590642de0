// Package vmsim simulates one of the system's VMs in virtual time. A VM can be paused,
// which also stops its monotonic clock, and its writes to the platform's table can be
// made to hang.
//
// While a VM is paused, each call through it blocks at its start or at its end until
// the VM is resumed, like the code of a paused process.
package vmsim

import (
	"context"
	"sync"
	"time"

	"geraniumcroft/internal/platform"
)

// VM implements lease.Clock and wraps a platform.Table. It is safe for concurrent use.
type VM struct {
	Name  string
	table platform.Table
	start time.Time

	mu sync.Mutex // guards the fields below
	// resume is non-nil and open while the VM is paused; since is when the pause began.
	resume chan struct{}
	since  time.Time
	// missed is the total time for which the monotonic clock was stopped in earlier
	// pauses.
	missed      time.Duration
	hangCommits bool
}

// New returns a running VM.
func New(name string, table platform.Table) *VM {
	return &VM{Name: name, table: table, start: time.Now()}
}

// Now implements lease.Clock. The wall clock also runs during pauses.
func (v *VM) Now() (wall time.Time, mono time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	mono = now.Sub(v.start) - v.missed
	if v.resume != nil {
		mono -= now.Sub(v.since)
	}
	return now.Round(0), mono
}

// Pause pauses the VM until Resume. It has no effect on a paused VM.
func (v *VM) Pause() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.resume == nil {
		v.resume = make(chan struct{})
		v.since = time.Now()
	}
}

// Resume ends a pause.
func (v *VM) Resume() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.resume == nil {
		return
	}
	close(v.resume)
	v.resume = nil
	v.missed += time.Since(v.since)
}

// AwaitRunning blocks while the VM is paused.
func (v *VM) AwaitRunning() {
	v.mu.Lock()
	resume := v.resume
	v.mu.Unlock()
	if resume != nil {
		<-resume
	}
}

// HangCommits sets whether commits block until their context ends, without an effect
// or a response.
func (v *VM) HangCommits(hang bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.hangCommits = hang
}

// Commit implements platform.Table.
func (v *VM) Commit(ctx context.Context, txn platform.Txn) error {
	v.AwaitRunning()
	defer v.AwaitRunning()
	if v.hangs() {
		<-ctx.Done()
		return &platform.AmbiguousError{TxnID: txn.ID, Cause: ctx.Err()}
	}
	return v.table.Commit(ctx, txn)
}

// Get implements platform.Table.
func (v *VM) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	v.AwaitRunning()
	defer v.AwaitRunning()
	return v.table.Get(ctx, keys...)
}

// Scan implements platform.Table.
func (v *VM) Scan(ctx context.Context, from, to string, limit int) ([]platform.Row, error) {
	v.AwaitRunning()
	defer v.AwaitRunning()
	return v.table.Scan(ctx, from, to, limit)
}

func (v *VM) hangs() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.hangCommits
}
