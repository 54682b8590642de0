package follow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/platform"
)

// step makes one call to the store.
func (f *Follower) step(ctx context.Context, reread bool) error {
	if reread {
		return f.readAll(ctx)
	}
	return f.waitForChange(ctx)
}

func (f *Follower) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	asked := time.Now()
	view, err := f.Feed.ReadAll(platform.WithPurpose(ctx, platform.PurposeReadAll), f.Table)
	if err != nil {
		return err
	}
	f.publish(view, "store", asked)
	return nil
}

// waitForChange calls the feed until something changes, for FeedWait at most. The call may be
// ended by endFeedCall.
func (f *Follower) waitForChange(ctx context.Context) error {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	f.beginFeedCall(end)
	defer f.beginFeedCall(nil)
	timed, cancel := context.WithTimeout(platform.WithPurpose(ctx, platform.PurposeFeed), feedTimeout)
	defer cancel()
	_, err := f.readFeed(timed, FeedWait)
	cause := context.Cause(ctx)
	switch {
	case err == nil || errors.Is(cause, errOvertaken):
		return nil
	case cause != nil:
		return cause
	}
	return err
}

// readFeed takes over what has changed since the last answer of the feed, and reports whether
// there was anything.
func (f *Follower) readFeed(ctx context.Context, wait time.Duration) (changed bool, err error) {
	at := f.View()
	change, err := f.Feed.Changes(ctx, f.Table, f.position(at.Revision), wait)
	if err != nil {
		return false, err
	}
	if change.Empty() {
		f.unchangedUpTo(change.Revision)
		f.confirm(time.Now())
		return false, nil
	}
	return f.applyTo(at.Revision, change, "store", time.Now()), nil
}

// position is the revision from which the feed is to go on, given the copy's. The store keeps
// some 20 s of changes: a table that changes seldom would be asked from before them each time,
// and be read whole.
func (f *Follower) position(revision uint64) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(revision, f.unchanged)
}

func (f *Follower) unchangedUpTo(revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unchanged = max(f.unchanged, revision)
}

// beginFeedCall notes how the call to the feed that is under way can be ended, nil if there
// is none.
func (f *Follower) beginFeedCall(end context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.feedCall = end
}

// endFeedCall ends the call to the feed that is under way, if there is one.
func (f *Follower) endFeedCall(cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.feedCall != nil {
		f.feedCall(cause)
	}
}
