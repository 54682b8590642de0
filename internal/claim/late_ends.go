package claim

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/platform"
)

const (
	// maxLateEnds bounds the ends that wait for the table; with answers of
	// MaxKeptAnswer that is about 6 MB.
	maxLateEnds = 256
	// retryEndsInterval is the time between two attempts to write them.
	retryEndsInterval = time.Second
)

// lateEnds are end rows that could not be written. They are kept in memory, so that
// a key does not stay unknown for an outage at the wrong moment; when this VM dies
// first, it does.
type lateEnds struct {
	mu   sync.Mutex // guards rows
	rows []newRow
}

// add drops the oldest row when there are too many.
func (l *lateEnds) add(row newRow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.rows) == maxLateEnds {
		l.rows = l.rows[1:]
	}
	l.rows = append(l.rows, row)
}

func (l *lateEnds) takeAll() []newRow {
	l.mu.Lock()
	defer l.mu.Unlock()
	rows := l.rows
	l.rows = nil
	return rows
}

func (l *lateEnds) len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.rows)
}

// Run writes ends that could not be written before, until the context ends.
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

// retryEnds tries each row once. It is safe after a write in doubt: the row is written
// once, and by this VM alone, so one that is there is this one.
func (c *Claims) retryEnds(ctx context.Context) {
	if !healthy(c.table) {
		return
	}
	ctx = platform.WithRateClass(ctx, platform.RateClassUrgent)
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	var writes sync.WaitGroup
	for _, row := range c.late.takeAll() {
		writes.Go(func() { c.retryEnd(ctx, row) })
	}
	writes.Wait()
}

func (c *Claims) retryEnd(ctx context.Context, row newRow) {
	err := c.writer.write(ctx, row)
	if err == nil || errors.Is(err, platform.ErrRefused) {
		c.counters.finished.Add(1)
		return
	}
	c.late.add(row)
}
