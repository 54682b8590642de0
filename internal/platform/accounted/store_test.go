package accounted_test

import (
	"context"
	"maps"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/platform/accounted"
)

// fakeStore is a store whose calls all return the same error.
type fakeStore struct{ err error }

func (s *fakeStore) Commit(context.Context, platform.Txn) error { return s.err }

func (s *fakeStore) Get(context.Context, ...string) ([]platform.Row, error) { return nil, s.err }

func (s *fakeStore) Scan(context.Context, string, string, int) ([]platform.Row, error) {
	return nil, s.err
}

func (s *fakeStore) ReadAll(context.Context, string) (platform.TableView, error) {
	return platform.TableView{}, s.err
}

func (s *fakeStore) Changes(context.Context, string, uint64, time.Duration) (platform.TableChange, error) {
	return platform.TableChange{}, s.err
}

// When the number of store calls rises, the counts of one VM must show which part of the
// program makes the calls, and how many of them fail without a response.
func TestCallsAreCountedByPurpose(t *testing.T) {
	store := &fakeStore{}
	scope := tally.NewTestScope("", nil)
	counting := accounted.New(store, store, scope)
	all := func(p platform.Purpose) {
		ctx := platform.WithPurpose(t.Context(), p)
		_ = counting.Commit(ctx, platform.Txn{})
		_, _ = counting.Get(ctx, "k")
		_, _ = counting.Scan(ctx, "a", "b", 1)
		_, _ = counting.ReadAll(ctx, "table")
		_, _ = counting.Changes(ctx, "table", 1, 0)
	}
	all(platform.PurposeLease)
	store.err = &platform.RefusedError{}
	all(platform.PurposeLease)
	store.err = platform.ErrHistoryGone
	all(platform.PurposeFeed)
	store.err = errors.New("no answer")
	all(platform.PurposeVMs)
	_, _ = counting.Get(t.Context(), "k")

	want := accounted.Counts{"lease": {Calls: 10}, "feed": {Calls: 5}, "vms": {Calls: 5, Failed: 5}, "other": {Calls: 1, Failed: 1}}
	if got := counting.Counts(); !maps.Equal(got, want) {
		t.Errorf("counted %v, want %v", got, want)
	}
	counters := scope.Snapshot().Counters()
	for name, value := range map[string]int64{
		"store_calls_total+purpose=lease": 10, "store_calls_total+purpose=vms": 5,
		"store_calls_failed_total+purpose=vms": 5, "store_calls_failed_total+purpose=feed": 0,
	} {
		if c := counters[name]; c == nil || c.Value() != value {
			t.Errorf("%s is %v, want %d", name, c, value)
		}
	}
}

// A purpose without a name would be counted under another one, or cause a panic.
func TestEachPurposeHasAName(t *testing.T) {
	names := map[string]bool{}
	for p := range platform.Purpose(platform.PurposeCount) {
		names[p.String()] = true
	}
	if len(names) != platform.PurposeCount || names[""] {
		t.Errorf("names: %v", names)
	}
}
