package claim

import (
	"sync"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/platform"
)

// ErrNotOwner is returned by Finish for a request that holds no claim on this VM.
var ErrNotOwner = errors.New("request holds no claim on this VM")

// Claims claims idempotency keys for the requests of one VM and records how the
// requests end. It is safe for concurrent use.
type Claims struct {
	table    platform.Table
	vm       string
	settings Settings
	inv      *invariant.Registry
	writer   writer
	counters counters
	cursor   sweepCursor
	retries  endRetries

	mu    sync.Mutex            // guards owned
	owned map[string]ownedClaim // by request id
}

// New returns the Claims of the VM named vm, which stores them in the table.
func New(table platform.Table, vm string, settings Settings, inv *invariant.Registry) *Claims {
	settings = settings.withDefaults()
	c := &Claims{
		table:    table,
		vm:       vm,
		settings: settings,
		inv:      inv,
		owned:    map[string]ownedClaim{},
	}
	if settings.Ungrouped {
		c.writer = &singleWriter{table: table}
	} else {
		c.writer = newGroupWriter(table, settings)
	}
	return c
}
