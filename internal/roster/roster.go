package roster

import (
	"context"
	"math"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/membership"
	"geraniumcroft/internal/platform"
)

const (
	rowPrefix = "vm/"
	// rowEnd is the first key after all rows: '0' follows '/'.
	rowEnd      = "vm0"
	scanLimit   = 4096
	scanTimeout = time.Second
	scanPause   = 200 * time.Millisecond
	// unheardGrace is how long a change waits for a VM that has a row and is held dead
	// here. It may only be cut off from this VM, serve and read the table: it polls at
	// least every 5 s, and without any peer each second or so, and refuses requests
	// when it can do neither. This holds for all but a VM that is cut off from the
	// table together with some of its peers.
	unheardGrace = 6 * time.Second
	// rereadEvery spaces the readings while rows hold up a version.
	rereadEvery = time.Second
	anyAge      = time.Duration(math.MaxInt64)
	// forgetAfter is how long a VM must have been dead, or unknown to membership,
	// before its row is deleted.
	forgetAfter = 30 * time.Second
	// sweepGap is the longest time between two sweeps over which a doubt goes on. A
	// doubt from before a longer pause says nothing of what happened in between.
	sweepGap = 15 * time.Second
)

// Roster implements confstore.Confirmer over membership and the rows.
type Roster struct {
	table   platform.Table
	vm      string
	members Members
	logger  *zap.Logger

	// turn is held by who reads the rows. It is no mutex, so that nobody needs mu
	// while the table is slow.
	turn chan struct{}

	// left is set before this VM's own row is deleted, so whoever finds it gone
	// afterwards knows that it is not to be written again.
	left atomic.Bool

	mu sync.Mutex // guards the fields below
	// scanned is the newest version for which the rows were read after its commit.
	scanned uint64
	rows    []string
	// reads are the newest readings, oldest first, back to unheardGrace.
	reads []reading
	// failed is when the rows could last not be read.
	failed time.Time
	// doubted is since when a row's VM was seen dead or unknown.
	doubted map[string]time.Time
	// swept is when this VM last swept.
	swept time.Time
}

// New returns a roster for this VM.
func New(table platform.Table, vm string, members Members, logger *zap.Logger) *Roster {
	return &Roster{
		table: table, vm: vm, members: members, logger: logger,
		turn: make(chan struct{}, 1), doubted: map[string]time.Time{},
	}
}

// InForce implements confstore.Confirmer. A VM that has a row has not confirmed
// while it is unknown to membership, and for a while when it is held dead: it may
// serve on the far side of a cut. Where the rows cannot be read membership alone
// answers, since while the store is out no VM can have read an older configuration
// from it.
func (r *Roster) InForce(version uint64) (confirmed, missing []string) {
	confirmed, missing = r.members.InForce(version)
	states := r.states()
	held := r.holdingUp(version, r.registered(version, anyAge), states)
	if len(held) > 0 {
		// Remembered rows must not hold anything up: the sweep may have deleted them.
		held = r.holdingUp(version, r.registered(version, rereadEvery), states)
	}
	return confirmed, append(missing, held...)
}

// holdingUp returns the VMs of the rows that have not confirmed for all that
// membership knows.
func (r *Roster) holdingUp(version uint64, rows []string, states map[string]membership.State) []string {
	var held []string
	waits := r.readFor(version) < unheardGrace
	for _, name := range rows {
		state, known := states[name]
		if name != r.vm && (!known || waits && state == membership.Dead) {
			held = append(held, name)
		}
	}
	return held
}

func (r *Roster) states() map[string]membership.State {
	states := map[string]membership.State{}
	for _, member := range r.members.Members() {
		states[member.Name] = member.State
	}
	return states
}

// readFor returns for how long the rows could be read since the version's commit,
// without a failure seen in between: while the table is out a VM that is cut off from
// its peers cannot poll either.
func (r *Roster) readFor(version uint64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, one := range r.reads {
		if one.version >= version {
			return r.reads[len(r.reads)-1].at.Sub(one.at)
		}
	}
	return 0
}

// registered returns the VMs that had a row at a moment after the commit of the
// version.
func (r *Roster) registered(version uint64, maxAge time.Duration) []string {
	r.turn <- struct{}{}
	defer func() { <-r.turn }()
	rows, enough := r.read(version, maxAge)
	if enough {
		return rows
	}
	ctx, cancel := context.WithTimeout(context.Background(), scanTimeout)
	defer cancel()
	found, err := r.scan(ctx)
	if err != nil {
		r.logger.Debug("rows of VMs cannot be read", zap.Error(err))
	}
	return r.keep(version, found, err)
}

// read returns what is known without the table, and whether that is enough: the
// rows were read for the version, or could not be read a moment ago.
func (r *Roster) read(version uint64, maxAge time.Duration) (rows []string, enough bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	failing := time.Since(r.failed) < scanPause
	if r.scanned < version {
		return nil, failing
	}
	if failing || len(r.reads) == 0 {
		return r.rows, failing
	}
	return r.rows, time.Since(r.reads[len(r.reads)-1].at) < maxAge
}

// keep notes what was read. Rows that cannot be read again stand.
func (r *Roster) keep(version uint64, found []platform.Row, err error) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.failed = time.Now()
		r.reads = nil // the time of an outage is no time to poll
		if r.scanned < version {
			return nil
		}
		return r.rows
	}
	r.rows, r.scanned = names(found), max(version, r.scanned)
	r.noteRead(reading{r.scanned, time.Now()})
	return r.rows
}

// noteRead drops readings that a later one makes useless: both are older than the
// grace. The lock is held.
func (r *Roster) noteRead(newest reading) {
	r.reads = append(r.reads, newest)
	for len(r.reads) > 1 && newest.at.Sub(r.reads[1].at) >= unheardGrace {
		r.reads = r.reads[1:]
	}
}

func (r *Roster) scan(ctx context.Context) ([]platform.Row, error) {
	return r.table.Scan(ctx, rowPrefix, rowEnd, scanLimit)
}

func names(rows []platform.Row) []string {
	found := make([]string, 0, len(rows))
	for _, row := range rows {
		found = append(found, strings.TrimPrefix(row.Key, rowPrefix))
	}
	return found
}
