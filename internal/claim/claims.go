package claim

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/platform"
)

// ErrNotOwner is returned by Finish for a request that holds no claim here.
var ErrNotOwner = errors.New("request holds no claim on this VM")

// writer writes one row on the condition that it does not exist.
type writer interface {
	// write returns nil once the row is written, a *platform.RefusedError with the
	// row when there is one, and platform's other errors.
	write(ctx context.Context, row newRow) error
}

// newRow is a row to be created.
type newRow struct {
	key   string
	value []byte
}

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

// ownedClaim is a claim that this VM holds for a request in hand.
type ownedClaim struct {
	key       Key
	keepUntil time.Time
}

type counters struct {
	run      atomic.Uint64
	replayed atomic.Uint64
	refused  atomic.Uint64
	unknown  atomic.Uint64
	finished atomic.Uint64
	unended  atomic.Uint64
	swept    atomic.Uint64
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

func (c *Claims) own(requestID string, claim ownedClaim) {
	c.mu.Lock()
	_, twice := c.owned[requestID]
	c.owned[requestID] = claim
	c.mu.Unlock()
	c.inv.Check(!twice, invariant.OneDispatch, "request %s claims a key twice", requestID)
}

// disown ends the request's claim here, so that a request ends once.
func (c *Claims) disown(k Key, requestID string) (ownedClaim, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	claim, ok := c.owned[requestID]
	if !ok || claim.key != k {
		return ownedClaim{}, false
	}
	delete(c.owned, requestID)
	return claim, true
}

// State is what the dump shows of a Claims.
type State struct {
	// InHand is the number of claims that this VM holds for requests in hand.
	InHand   int    `json:"inHand"`
	Run      uint64 `json:"run"`
	Replayed uint64 `json:"replayed"`
	Refused  uint64 `json:"refused"`
	Unknown  uint64 `json:"unknown"`
	Finished uint64 `json:"finished"`
	// Unended counts requests whose end could not be written at once; Waiting is how
	// many of them are still to be written.
	Unended uint64 `json:"unended"`
	Waiting int    `json:"waiting"`
	Swept   uint64 `json:"swept"`
	// Grouping is nil when claims are written one by one.
	Grouping *GroupState `json:"grouping,omitempty"`
}

// Dump returns the state; it holds no key.
func (c *Claims) Dump() State {
	c.mu.Lock()
	inHand := len(c.owned)
	c.mu.Unlock()
	state := State{
		InHand:   inHand,
		Run:      c.counters.run.Load(),
		Replayed: c.counters.replayed.Load(),
		Refused:  c.counters.refused.Load(),
		Unknown:  c.counters.unknown.Load(),
		Finished: c.counters.finished.Load(),
		Unended:  c.counters.unended.Load(),
		Waiting:  c.late.len(),
		Swept:    c.counters.swept.Load(),
	}
	if grouped, ok := c.writer.(*groupWriter); ok {
		state.Grouping = grouped.dump()
	}
	return state
}
