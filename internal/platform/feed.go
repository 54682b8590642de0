package platform

import (
	"context"
	"time"
)

// ErrHistoryGone means that the store no longer keeps the changes since the requested
// revision. The reader has to read the whole table again.
var ErrHistoryGone = historyGoneError{}

type historyGoneError struct{}

// Error implements the error interface.
func (historyGoneError) Error() string { return "the platform no longer keeps these changes" }

// Feed reads whole tables that others write, and the changes to them. It never writes,
// so no operation is ambiguous.
type Feed interface {
	// ReadAll returns a consistent snapshot of all rows of a table.
	ReadAll(ctx context.Context, table string) (TableView, error)
	// Changes waits up to the given time for changes after the revision and returns them
	// in order. If there are none it returns the revision up to which the table is
	// unchanged. The error is ErrHistoryGone when the changes are no longer kept.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (TableChange, error)
}

// TableView is a snapshot of a whole table at one version.
type TableView struct {
	Version
	Rows map[string][]byte `json:"rows"`
}

// TableChange holds the changes to a table up to a version. If Whole is set, Written is
// the whole table.
type TableChange struct {
	Version
	// Content is the writer's own version of the sender's content, see Cursor. Set only in changes
	// that peers exchange.
	Content uint64            `json:"content,omitempty"`
	Whole   bool              `json:"whole,omitempty"`
	Written map[string][]byte `json:"written,omitempty"`
	Deleted []string          `json:"deleted,omitempty"`
	// UnchangedUpTo is the store's revision, in the era of the version, up to which the table has
	// no further changes. Set only in changes that peers exchange.
	UnchangedUpTo uint64 `json:"unchangedUpTo,omitempty"`
	// Settling reports that the store was unavailable shortly before for long enough that entries
	// expired, so missing rows may still be restored. Set only in changes that peers exchange.
	Settling bool `json:"settling,omitempty"`
	// SettlingLeft is the remaining time of Settling; 0 if the peer did not report it.
	SettlingLeft time.Duration `json:"settlingLeft,omitempty"`
	// SteadyFor is how long the sender's copy has been confirmed without a gap in which entries could
	// expire; 0 if the sender did not report it. Set only in changes that peers exchange.
	SteadyFor time.Duration `json:"steadyFor,omitempty"`
	// ByFeed reports that the sending peer follows the store's feed itself. Set only in
	// changes that peers exchange.
	ByFeed bool `json:"byFeed,omitempty"`
	// ByRelay reports that the sending peer copies from VMs that follow the feed. Set only in
	// changes that peers exchange.
	ByRelay bool `json:"byRelay,omitempty"`
}

// Empty reports whether c contains no changes.
func (c TableChange) Empty() bool { return !c.Whole && len(c.Written)+len(c.Deleted) == 0 }

// Apply returns the view with c applied. It does not modify v.
func (v TableView) Apply(c TableChange) TableView {
	if c.Whole {
		return TableView{Version: c.Version, Rows: c.Written}
	}
	rows := make(map[string][]byte, len(v.Rows)+len(c.Written))
	for key, value := range v.Rows {
		rows[key] = value
	}
	for _, key := range c.Deleted {
		delete(rows, key)
	}
	for key, value := range c.Written {
		rows[key] = value
	}
	return TableView{Version: Version{Era: v.Era, Revision: max(v.Revision, c.Revision)}, Rows: rows}
}
