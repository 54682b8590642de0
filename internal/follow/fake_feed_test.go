package follow

import (
	"context"
	"sync"
	"time"

	"geraniumcroft/internal/platform"
)

// fakeFeed is a platform.Feed of one table.
type fakeFeed struct {
	mu          sync.Mutex // guards the fields below
	view        platform.TableView
	err         error
	historyGone bool
	changed     chan struct{}
	// reads counts the reads of the whole table.
	reads int
	// calls counts all calls, reads included.
	calls int
	// newest is the store's revision if other tables have changed later than this one; oldestKept
	// is the oldest revision from which changes are still available.
	newest, oldestKept uint64
	// silent makes calls wait until their context ends, even if the store becomes available again.
	silent bool
}

func newFakeFeed() *fakeFeed {
	return &fakeFeed{view: platform.TableView{Version: platform.Version{Revision: 1}, Rows: map[string][]byte{"a": []byte("1")}}, changed: make(chan struct{})}
}

func (f *fakeFeed) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeFeed) ReadAll(ctx context.Context, _ string) (platform.TableView, error) {
	f.beginCall(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.historyGone = false
	f.reads++
	return platform.TableView{Version: platform.Version{Revision: max(f.view.Revision, f.newest)}, Rows: f.view.Rows}, f.err
}

// beginCall counts a call. If the store is silent it waits until ctx ends.
func (f *fakeFeed) beginCall(ctx context.Context) {
	f.mu.Lock()
	f.calls++
	silent := f.silent
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
	}
}

func (f *fakeFeed) readCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads
}

func (f *fakeFeed) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

func (f *fakeFeed) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) (platform.TableChange, error) {
	f.beginCall(ctx)
	until := time.After(wait)
	for {
		f.mu.Lock()
		view, err, historyGone, changed := f.view, f.err, f.historyGone || after < f.oldestKept, f.changed
		newest := max(after, f.newest)
		f.mu.Unlock()
		switch {
		case ctx.Err() != nil:
			return platform.TableChange{}, ctx.Err()
		case err != nil:
			return platform.TableChange{}, err
		case historyGone:
			return platform.TableChange{}, platform.ErrHistoryGone
		case view.Revision > after:
			return platform.TableChange{Version: platform.Version{Revision: view.Revision}, Written: view.Rows}, nil
		}
		if wait <= 0 {
			// No timer here: several timers that are due at once in one synctest bubble share
			// state in the race detector and crash it.
			return platform.TableChange{Version: platform.Version{Revision: newest}}, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return platform.TableChange{}, ctx.Err()
		case <-until:
			return platform.TableChange{Version: platform.Version{Revision: newest}}, nil
		}
	}
}
