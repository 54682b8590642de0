package claim

import (
	"sync"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/platform"
)

// ErrNotOwner is returned by Finish for a request that holds no claim here.
var ErrNotOwner = errors.New("request holds no claim on this VM")

// Claims decides about keyed requests on one VM. It is safe for concurrent use.
type Claims struct {
	table    platform.Table
	vm       string
	settings Settings
	inv      *invariant.Registry
	writer   writer
	counters counters
	cursor   sweepCursor
	late     lateEnds

	mu    sync.Mutex // guards owned
	owned map[string]ownedClaim
}

// New returns the claims of the VM, kept in the table.
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
