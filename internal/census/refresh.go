package census

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/sleep"
)

// Run keeps the list current and this VM's row in the table until ctx ends.
func (c *Census) Run(ctx context.Context) {
	ctx = platform.WithPurpose(ctx, platform.PurposeVMs)
	if c.firstStart {
		c.registerFirst(ctx)
	}
	for !c.start(ctx) {
		if !sleep.For(ctx, startupInterval) {
			return
		}
	}
	for sleep.For(ctx, c.nextRound()) {
		c.round(ctx)
	}
}

// nextRound returns the time until the next round. It varies, as VMs often start together.
func (c *Census) nextRound() time.Duration {
	interval := refreshInterval
	if time.Since(c.startedAt) < startupTime {
		interval = firstInterval
	}
	return interval/2 + rand.N(interval)
}

// start reads the largest VMs and registers this one. It reports false if neither the table nor a
// peer has answered.
func (c *Census) start(ctx context.Context) bool {
	timed, cancelScan := context.WithTimeout(ctx, startTimeout)
	rows, err := c.table.Scan(timed, rowPrefix, rowPrefixEnd, startRows)
	cancelScan()
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	if err != nil {
		c.logReadError(ctx, err)
		c.fetchFromPeers(ctx, platform.Version{})
		return c.Loaded()
	}
	switch {
	case len(rows) < startRows:
		c.applyRows(rows)
	case c.setLargest(rows) && c.readsFirst():
		c.readTable(ctx)
	default:
		c.fetchFromPeers(ctx, platform.Version{})
	}
	c.maintainRow(ctx)
	return true
}

// round gets a newer list and maintains this VM's row.
func (c *Census) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	if version, due := c.fetchDue(); due {
		c.fetchFromPeers(ctx, version)
	}
	if c.age() >= c.maxAge() {
		c.readTable(ctx)
	}
	c.recheckRow()
	c.maintainRow(ctx)
}

// fetchDue reports whether peers are to be asked for a newer list than one of a version. A VM
// whose list is recent asks only while the fleet may be starting.
func (c *Census) fetchDue() (version platform.Version, due bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.snapshot == nil:
		return platform.Version{}, true
	case time.Since(c.snapshot.confirmedAt) > staleAge:
		// The table's clock, which gives the versions, may have been set back.
		return platform.Version{}, true
	}
	starting := time.Since(c.startedAt) < startupTime || c.listedAt.IsZero()
	return c.snapshot.version, starting || time.Since(c.snapshot.confirmedAt) >= minInterval/2
}

// fetchFromPeers gets a newer list than one of a version: from the readers if this VM follows the feed, as
// its other peers have theirs from those, and otherwise from any peer.
func (c *Census) fetchFromPeers(ctx context.Context, version platform.Version) {
	if c.peers == nil || c.FollowsFeed() && c.fetchFromReaders(ctx, version) {
		return
	}
	if change, age, ok := c.peers.FetchOne(ctx, TableName, version); ok {
		c.takeCopy(change, age)
	}
}

// age returns the time since the table was known to hold the present list, and the time since the
// start if there is no complete list.
func (c *Census) age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot == nil {
		return time.Since(c.startedAt)
	}
	return time.Since(c.snapshot.confirmedAt)
}

// maxAge returns the age of the list at which this VM reads the table. The list of one that follows the
// feed is never older than minInterval, so that it has a VM that calls itself Counted.
func (c *Census) maxAge() time.Duration {
	if c.FollowsFeed() {
		return c.readingAge()
	}
	return staleAge + time.Duration(c.patience*float64(staleAge))
}

// changing reports whether VMs are being added, or this VM is not listed yet.
func (c *Census) changing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listedAt.IsZero() || time.Since(c.changedAt) < 2*startupInterval
}

// readTable reads the rows of all VMs.
func (c *Census) readTable(ctx context.Context) {
	c.patience = rand.Float64()
	rows, err := c.table.Scan(ctx, rowPrefix, rowPrefixEnd, maxVMs)
	if err != nil {
		c.logReadError(ctx, err)
		return
	}
	c.applyRows(rows)
	c.deleteOutdatedRow(ctx, rows)
}

func (c *Census) logReadError(ctx context.Context, err error) {
	if ctx.Err() == nil {
		c.logger.Info("list of VMs not read", zap.Error(err))
	}
}
