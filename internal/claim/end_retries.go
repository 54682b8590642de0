package claim

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/platform"
)

const (
	// maxEndRetries is the maximum number of end rows that wait for a retry. With
	// answers of MaxKeptAnswer bytes they take about 6 MB.
	maxEndRetries = 256
	// retryEndsInterval is the time between two retries.
	retryEndsInterval = time.Second
)

// endRetries holds the end rows that could not be written, so that a key does not stay
// unknown because the table was unavailable when its request ended. The rows are kept
// in memory only: if this VM crashes before they are written, their keys stay unknown.
type endRetries struct {
	mu   sync.Mutex // guards rows
	rows []newRow
}

// add adds the row and drops the oldest one if there are maxEndRetries already.
func (l *endRetries) add(row newRow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.rows) == maxEndRetries {
		l.rows = l.rows[1:]
	}
	l.rows = append(l.rows, row)
}

// takeAll removes and returns all rows.
func (l *endRetries) takeAll() []newRow {
	l.mu.Lock()
	defer l.mu.Unlock()
	rows := l.rows
	l.rows = nil
	return rows
}

// len returns the number of rows.
func (l *endRetries) len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.rows)
}

// Run retries the end rows that could not be written, until the context ends.
func (c *Claims) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(retryEndsInterval):
			c.retryEnds(ctx)
		}
	}
}

// retryEnds tries to write each row once, unless the table is known to be unavailable.
// This is safe after an ambiguous write: only this VM writes the row, and only once,
// so an existing row is this one.
func (c *Claims) retryEnds(ctx context.Context) {
	if !healthy(c.table) {
		return
	}
	ctx = platform.WithRateClass(ctx, platform.RateClassUrgent)
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	var writes sync.WaitGroup
	for _, row := range c.retries.takeAll() {
		writes.Go(func() { c.retryEnd(ctx, row) })
	}
	writes.Wait()
}

// retryEnd writes the row and queues it again if that fails. A refusal means that an
// earlier attempt has written the row.
func (c *Claims) retryEnd(ctx context.Context, row newRow) {
	err := c.writer.write(ctx, row)
	if err == nil || errors.Is(err, platform.ErrRefused) {
		c.counters.finished.Add(1)
		return
	}
	c.retries.add(row)
}
