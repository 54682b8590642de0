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
	// rowEnd is the first key after all rows: '0' follows '/' in ASCII.
	rowEnd         = "vm0"
	scanLimit      = 4096
	scanTimeout    = time.Second
	scanRetryDelay = 200 * time.Millisecond
	// deadVMGrace is how long a change waits for a VM that has a row but is held dead by this VM.
	// The VM may only be cut off from this one, and still serve and read the table. It polls the
	// table at least every 5 s, and about every second if it reaches no peer, and it refuses
	// requests if it reaches neither the table nor a peer. This covers every case except a VM that
	// is cut off from the table together with some of its peers.
	deadVMGrace = 6 * time.Second
	// rescanInterval is the time between two scans while rows delay a version.
	rescanInterval = time.Second
	anyAge         = time.Duration(math.MaxInt64)
	// rowRetention is how long a VM must have been dead, or unknown to membership, before its row
	// is deleted.
	rowRetention = 30 * time.Second
	// maxSweepGap is the longest time between two sweeps after which notServingSince is still used.
	// After a longer pause it is discarded, since the VM may have served in between.
	maxSweepGap = 15 * time.Second
)

// Roster implements confstore.Confirmer with membership and the rows. It is safe for concurrent
// use.
type Roster struct {
	table   platform.Table
	vm      string
	members Members
	logger  *zap.Logger

	// scanning is a semaphore for scans of the table. It is separate from mu, so that mu is never
	// held while the table is slow.
	scanning chan struct{}

	// unregistered is set before this VM deletes its row. A poll that finds the row missing
	// afterwards must not write it again.
	unregistered atomic.Bool

	mu sync.Mutex // guards the fields below
	// scannedVersion is the newest version for which the rows were scanned after its commit.
	scannedVersion uint64
	rows           []string
	// scans are the recent successful scans, oldest first, back to deadVMGrace.
	scans []completedScan
	// scanFailedAt is when a scan last failed.
	scanFailedAt time.Time
	// notServingSince holds, by VM with a row, since when the sweeps of this VM have found it dead
	// or unknown.
	notServingSince map[string]time.Time
	// lastSweep is when this VM last swept.
	lastSweep time.Time
}

// New returns a Roster for the VM of the given name.
func New(table platform.Table, vm string, members Members, logger *zap.Logger) *Roster {
	return &Roster{
		table: table, vm: vm, members: members, logger: logger,
		scanning: make(chan struct{}, 1), notServingSince: map[string]time.Time{},
	}
}

// InForce implements confstore.Confirmer. A VM that has a row counts as missing while it is unknown
// to membership, and for deadVMGrace while it is held dead, because it may serve on the other side
// of a partition. If the rows cannot be read, only membership decides: while the store is
// unavailable, no VM can read an older configuration from it.
func (r *Roster) InForce(version uint64) (confirmed, missing []string) {
	confirmed, missing = r.members.InForce(version)
	states := r.states()
	waitingFor := r.unconfirmed(version, r.registered(version, anyAge), states)
	if len(waitingFor) > 0 {
		// Cached rows must not delay a change: a sweep may have deleted them.
		waitingFor = r.unconfirmed(version, r.registered(version, rescanInterval), states)
	}
	return confirmed, append(missing, waitingFor...)
}

// unconfirmed returns the VMs of the rows that may serve without membership knowing whether they
// have confirmed the version.
func (r *Roster) unconfirmed(version uint64, rows []string, states map[string]membership.State) []string {
	var waitingFor []string
	inGrace := r.readableFor(version) < deadVMGrace
	for _, name := range rows {
		state, known := states[name]
		if name != r.vm && (!known || inGrace && state == membership.Dead) {
			waitingFor = append(waitingFor, name)
		}
	}
	return waitingFor
}

// states returns the state of each member by name.
func (r *Roster) states() map[string]membership.State {
	states := map[string]membership.State{}
	for _, member := range r.members.Members() {
		states[member.Name] = member.State
	}
	return states
}

// readableFor returns how long the rows have been readable since the version's commit, without a
// failed scan in between. A failure resets the time, because a VM that is cut off from its peers
// cannot poll either while the table is unavailable.
func (r *Roster) readableFor(version uint64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, scan := range r.scans {
		if scan.version >= version {
			return r.scans[len(r.scans)-1].at.Sub(scan.at)
		}
	}
	return 0
}

// registered returns the VMs that had a row at some time after the commit of the version. The
// result comes from a scan that is younger than maxAge, if the table can be read.
func (r *Roster) registered(version uint64, maxAge time.Duration) []string {
	r.scanning <- struct{}{}
	defer func() { <-r.scanning }()
	rows, sufficient := r.cachedRows(version, maxAge)
	if sufficient {
		return rows
	}
	ctx, cancel := context.WithTimeout(context.Background(), scanTimeout)
	defer cancel()
	found, err := r.scan(ctx)
	if err != nil {
		r.logger.Debug("scan of VM rows failed", zap.Error(err))
	}
	return r.recordScan(version, found, err)
}

// cachedRows returns the rows that are known without a scan, and whether no scan is needed: either
// the rows were scanned after the commit of the version and less than maxAge ago, or a scan failed
// less than scanRetryDelay ago.
func (r *Roster) cachedRows(version uint64, maxAge time.Duration) (rows []string, sufficient bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	failedRecently := time.Since(r.scanFailedAt) < scanRetryDelay
	if r.scannedVersion < version {
		return nil, failedRecently
	}
	if failedRecently || len(r.scans) == 0 {
		return r.rows, failedRecently
	}
	return r.rows, time.Since(r.scans[len(r.scans)-1].at) < maxAge
}

// recordScan stores the result of a scan and returns the rows to use. If the scan failed, the
// previous rows stay in use.
func (r *Roster) recordScan(version uint64, found []platform.Row, err error) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.scanFailedAt = time.Now()
		r.scans = nil // VMs cannot poll during an outage, so its duration must not count
		if r.scannedVersion < version {
			return nil
		}
		return r.rows
	}
	r.rows, r.scannedVersion = names(found), max(version, r.scannedVersion)
	r.addScan(completedScan{r.scannedVersion, time.Now()})
	return r.rows
}

// addScan appends the newest scan and drops the oldest one for as long as the scan after it is
// older than deadVMGrace as well. The caller holds r.mu.
func (r *Roster) addScan(newest completedScan) {
	r.scans = append(r.scans, newest)
	for len(r.scans) > 1 && newest.at.Sub(r.scans[1].at) >= deadVMGrace {
		r.scans = r.scans[1:]
	}
}

func (r *Roster) scan(ctx context.Context) ([]platform.Row, error) {
	return r.table.Scan(ctx, rowPrefix, rowEnd, scanLimit)
}

// names returns the names of the VMs of the rows.
func names(rows []platform.Row) []string {
	found := make([]string, 0, len(rows))
	for _, row := range rows {
		found = append(found, strings.TrimPrefix(row.Key, rowPrefix))
	}
	return found
}
