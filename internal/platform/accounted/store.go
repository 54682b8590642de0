package accounted

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"geraniumcroft/internal/platform"
)

var (
	_ platform.Table = (*Store)(nil)
	_ platform.Feed  = (*Store)(nil)
)

// Store forwards calls and counts them. It is safe for concurrent use.
type Store struct {
	table    platform.Table
	feed     platform.Feed
	counters [platform.PurposeCount]counters
}

// counters holds the counters of one purpose: atomic ones for the dump, and those of the
// metrics.
type counters struct {
	calls, failed         atomic.Uint64
	callsTotal, failTotal tally.Counter
}

// New wraps a store's table and feed. It adds the counters store_calls_total and
// store_calls_failed_total, tagged by purpose, to scope.
func New(table platform.Table, feed platform.Feed, scope tally.Scope) *Store {
	s := &Store{table: table, feed: feed}
	for purpose := range platform.Purpose(platform.PurposeCount) {
		tagged := scope.Tagged(map[string]string{"purpose": purpose.String()})
		s.counters[purpose].callsTotal = tagged.Counter("store_calls_total")
		s.counters[purpose].failTotal = tagged.Counter("store_calls_failed_total")
	}
	return s
}

// Commit implements platform.Table.
func (s *Store) Commit(ctx context.Context, txn platform.Txn) error {
	err := s.table.Commit(ctx, txn)
	s.count(ctx, err)
	return err
}

// Get implements platform.Table.
func (s *Store) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	rows, err := s.table.Get(ctx, keys...)
	s.count(ctx, err)
	return rows, err
}

// Scan implements platform.Table.
func (s *Store) Scan(ctx context.Context, from, to string, limit int) ([]platform.Row, error) {
	rows, err := s.table.Scan(ctx, from, to, limit)
	s.count(ctx, err)
	return rows, err
}

// ReadAll implements platform.Feed. A table of several pages counts as one call.
func (s *Store) ReadAll(ctx context.Context, table string) (platform.TableView, error) {
	view, err := s.feed.ReadAll(ctx, table)
	s.count(ctx, err)
	return view, err
}

// Changes implements platform.Feed.
func (s *Store) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (platform.TableChange, error) {
	change, err := s.feed.Changes(ctx, table, after, wait)
	s.count(ctx, err)
	return change, err
}

func (s *Store) count(ctx context.Context, err error) {
	c := &s.counters[platform.PurposeOf(ctx)]
	c.calls.Add(1)
	c.callsTotal.Inc(1)
	if err == nil || isRegularResponse(err) {
		return
	}
	c.failed.Add(1)
	c.failTotal.Inc(1)
}

// isRegularResponse reports whether an error is a regular response of a working store.
func isRegularResponse(err error) bool {
	return errors.Is(err, platform.ErrRefused) || errors.Is(err, platform.ErrHistoryGone)
}
