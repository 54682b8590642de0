package feedsim

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/platform"
)

var (
	errAway     = errors.New("the store is away")
	errRejected = errors.New("the store turns this VM away")
)

// Client is the store as one VM sees it.
type Client struct {
	store *Store
	// eras gets the era of each answer; nil for none.
	eras *platform.Eras
	// Rejected makes the store answer this VM's calls with an error.
	Rejected atomic.Bool
	// CutOff makes this VM's calls wait until their context ends.
	CutOff atomic.Bool
}

var _ platform.Feed = (*Client)(nil)

// Client returns a new client of a VM, which records the eras of answers; eras may be nil.
func (s *Store) Client(eras *platform.Eras) *Client { return &Client{store: s, eras: eras} }

// ReadAll implements platform.Feed.
func (c *Client) ReadAll(ctx context.Context, table string) (platform.TableView, error) {
	if err := c.begin(ctx); err != nil {
		return platform.TableView{}, err
	}
	view, err := c.store.readAll(table)
	if err == nil {
		c.observe(view.Era)
	}
	return view, err
}

// observe records the era of an answer.
func (c *Client) observe(era uint64) {
	if c.eras != nil {
		c.eras.Raise(era)
	}
}

func (s *Store) readAll(table string) (platform.TableView, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return platform.TableView{}, errAway
	}
	rows := maps.Clone(s.state.tables[table])
	for _, row := range rows {
		s.bytes += len(row)
	}
	return platform.TableView{Version: platform.Version{Era: s.era, Revision: s.state.revision}, Rows: rows}, nil
}

// Changes implements platform.Feed.
func (c *Client) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (platform.TableChange, error) {
	if err := c.begin(ctx); err != nil {
		return platform.TableChange{}, err
	}
	until := time.Now().Add(wait)
	for {
		change, changed, err := c.store.changes(table, after)
		if err == nil || errors.Is(err, platform.ErrHistoryGone) {
			c.observe(change.Era)
		}
		if err != nil || !change.Empty() || !time.Now().Before(until) {
			return change, err
		}
		timed, cancel := context.WithDeadline(ctx, until)
		select {
		case <-changed:
		case <-timed.Done():
		}
		cancel()
		if ctx.Err() != nil {
			return platform.TableChange{}, ctx.Err()
		}
		if err := c.begin(ctx); err != nil {
			return platform.TableChange{}, err
		}
	}
}

// begin waits while the VM is cut off, and returns an error if the call is not answered.
func (c *Client) begin(ctx context.Context) error {
	c.store.mu.Lock()
	c.store.calls++
	c.store.mu.Unlock()
	if c.CutOff.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	if c.Rejected.Load() {
		return errRejected
	}
	return ctx.Err()
}

// changes returns what has changed after a revision, and a channel that is closed with the next change.
func (s *Store) changes(table string, after uint64) (platform.TableChange, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change := platform.TableChange{Version: platform.Version{Era: s.era, Revision: s.state.revision}, Written: map[string][]byte{}}
	switch {
	case s.away:
		return change, nil, errAway
	case after > s.state.revision:
		return change, nil, platform.ErrHistoryGone
	}
	deleted := map[string]bool{}
	for _, r := range s.state.history {
		if r.table != table || r.revision <= after {
			continue
		}
		deleted[r.key] = r.deleted
		change.Written[r.key] = r.value
	}
	for key, gone := range deleted {
		if gone {
			delete(change.Written, key)
			change.Deleted = append(change.Deleted, key)
			continue
		}
		s.bytes += len(change.Written[key])
	}
	return change, s.changed, nil
}
