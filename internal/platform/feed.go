package platform

import (
	"context"
	"time"
)

// ErrHistoryGone means that the changes since a revision are no longer kept; read
// the whole table again.
var ErrHistoryGone = historyGoneError{}

type historyGoneError struct{}

// Error implements error.
func (historyGoneError) Error() string { return "the platform no longer keeps these changes" }

// Feed reads whole tables that others write, and what changes in them. A table is
// read only, so no operation here is ambiguous.
type Feed interface {
	// ReadAll returns all rows of a table as of one moment.
	ReadAll(ctx context.Context, table string) (TableView, error)
	// Changes waits until something changed after the revision, at most for the given
	// time, and returns the changes in order. Without any it returns the revision up to
	// which there are none. The error is ErrHistoryGone when they are no longer kept.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (TableChange, error)
}

// TableView is a whole table at one revision.
type TableView struct {
	Revision uint64            `json:"revision"`
	Rows     map[string][]byte `json:"rows"`
}

// TableChange is what changed in a table up to a revision. Whole says that Written is the
// whole table.
type TableChange struct {
	Revision uint64            `json:"revision"`
	Whole    bool              `json:"whole,omitempty"`
	Written  map[string][]byte `json:"written,omitempty"`
	Deleted  []string          `json:"deleted,omitempty"`
	// UnchangedUpTo is, in what peers tell each other, the store's revision up to which nothing
	// more has changed in the table.
	UnchangedUpTo uint64 `json:"unchangedUpTo,omitempty"`
	// Settling says, in what peers tell each other, that the store was away a moment ago,
	// so rows that are missing may still come back.
	Settling bool `json:"settling,omitempty"`
	// SettlingLeft is for how long yet; 0 with Settling if the peer did not say.
	SettlingLeft time.Duration `json:"settlingLeft,omitempty"`
	// ByFeed says, in what peers tell each other, that the peer follows the store's feed
	// itself.
	ByFeed bool `json:"byFeed,omitempty"`
}

// Empty reports whether nothing changed.
func (c TableChange) Empty() bool { return !c.Whole && len(c.Written)+len(c.Deleted) == 0 }

// Apply returns the view with the change made. The view itself stays as it is.
func (v TableView) Apply(c TableChange) TableView {
	if c.Whole {
		return TableView{Revision: c.Revision, Rows: c.Written}
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
	return TableView{Revision: max(v.Revision, c.Revision), Rows: rows}
}
