package follow

import (
	"context"
	"sync"
	"time"

	"geraniumcroft/internal/platform"
)

// fakeFeed gives out the changes of one table.
type fakeFeed struct {
	mu      sync.Mutex // guards the fields below
	view    platform.TableView
	err     error
	forgot  bool
	changed chan struct{}
	// reads counts the readings of the whole table.
	reads int
	// calls counts all calls.
	calls int
	// newest is the store's revision where other tables have moved it on, and kept the one
	// behind which it knows the changes.
	newest, kept uint64
	// silent holds every call without an answer, also once the store answers others again.
	silent bool
}

func newFakeFeed() *fakeFeed {
	return &fakeFeed{view: platform.TableView{Revision: 1, Rows: map[string][]byte{"a": []byte("1")}}, changed: make(chan struct{})}
}

func (f *fakeFeed) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeFeed) ReadAll(ctx context.Context, _ string) (platform.TableView, error) {
	f.hold(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forgot = false
	f.reads++
	return platform.TableView{Revision: max(f.view.Revision, f.newest), Rows: f.view.Rows}, f.err
}

// hold counts a call, and waits for its end if it is made while the store is silent.
func (f *fakeFeed) hold(ctx context.Context) {
	f.mu.Lock()
	f.calls++
	silent := f.silent
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
	}
}

func (f *fakeFeed) readings() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads
}

func (f *fakeFeed) called() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

func (f *fakeFeed) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) (platform.TableChange, error) {
	f.hold(ctx)
	until := time.After(wait)
	for {
		f.mu.Lock()
		view, err, forgot, changed := f.view, f.err, f.forgot || after < f.kept, f.changed
		newest := max(after, f.newest)
		f.mu.Unlock()
		switch {
		case ctx.Err() != nil:
			return platform.TableChange{}, ctx.Err()
		case err != nil:
			return platform.TableChange{}, err
		case forgot:
			return platform.TableChange{}, platform.ErrHistoryGone
		case view.Revision > after:
			return platform.TableChange{Revision: view.Revision, Written: view.Rows}, nil
		}
		if wait <= 0 {
			// No timer that is due at once: several in one synctest bubble share state in the race
			// detector and crash it.
			return platform.TableChange{Revision: newest}, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return platform.TableChange{}, ctx.Err()
		case <-until:
			return platform.TableChange{Revision: newest}, nil
		}
	}
}
