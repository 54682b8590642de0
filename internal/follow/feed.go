package follow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"geraniumcroft/internal/platform"
)

// readStore makes one call to the store: a read of the whole table, or a feed call.
func (f *Follower) readStore(ctx context.Context, reread bool) error {
	if reread {
		return f.readAll(ctx)
	}
	return f.waitForChange(ctx)
}

func (f *Follower) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	askedAt := time.Now()
	view, err := f.Feed.ReadAll(platform.WithPurpose(ctx, platform.PurposeReadAll), f.Table)
	if err != nil {
		return err
	}
	f.publish(view, fromStore, confirmedAt(askedAt))
	return nil
}

// waitForChange calls the feed and returns when something has changed, after at most FeedWait.
// cancelFeedCall ends the call early.
func (f *Follower) waitForChange(ctx context.Context) error {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	f.setFeedCall(end)
	defer f.setFeedCall(nil)
	timed, cancel := context.WithTimeout(platform.WithPurpose(ctx, platform.PurposeFeed), feedTimeout)
	defer cancel()
	_, err := f.pollFeed(timed, FeedWait)
	cause := context.Cause(ctx)
	switch {
	case err == nil || errors.Is(cause, errSuperseded):
		return nil
	case cause != nil:
		return cause
	}
	return err
}

// pollFeed applies what has changed since the last answer of the feed. It reports whether it has
// applied a change.
func (f *Follower) pollFeed(ctx context.Context, wait time.Duration) (changed bool, err error) {
	at := f.View()
	position := f.feedPosition(at.Version)
	change, err := f.Feed.Changes(ctx, f.Table, position, wait)
	if err == nil && change.Era != at.Era {
		// What follows the position in another era is not what has changed since the copy.
		err = platform.ErrHistoryGone
	}
	if errors.Is(err, platform.ErrHistoryGone) {
		f.Logger.Info("changes of a table are gone", zap.String("table", f.Table), zap.Uint64("position", position),
			zap.Stringer("have", at.Version), zap.Uint64("era", change.Era))
	}
	if err != nil {
		return false, err
	}
	if change.Empty() {
		f.raiseUnchangedUpTo(change.Version)
		f.markConfirmed(confirmedAt(time.Now()))
		return false, nil
	}
	return f.applyChange(at.Version, change, fromStore, confirmedAt(time.Now())), nil
}

// feedPosition returns the revision after which the feed is asked for changes, for a copy of the
// given version. The store keeps changes for about 20 s: for a table that changes rarely, a
// request from the copy's own revision would reach back too far and the whole table would be read
// each time.
func (f *Follower) feedPosition(version platform.Version) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unchangedUpTo.Era != version.Era {
		return version.Revision
	}
	return max(version.Revision, f.unchangedUpTo.Revision)
}

func (f *Follower) raiseUnchangedUpTo(version platform.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version.After(f.unchangedUpTo) {
		f.unchangedUpTo = version
	}
}

// setFeedCall stores the function that cancels the pending feed call; nil means that there is
// none.
func (f *Follower) setFeedCall(end context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelFeed = end
}

// cancelFeedCall cancels the pending feed call, if there is one.
func (f *Follower) cancelFeedCall(cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelFeed != nil {
		f.cancelFeed(cause)
	}
}
