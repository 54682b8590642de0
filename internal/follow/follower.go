package follow

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/sleep"
)

const (
	// feedPause spaces the calls to the feed. Replicas come and go in bursts, and without
	// the pause each one's change would cost every VM a call; with it changes are seen
	// within half a second, a quarter of the time in which they have to be in force.
	feedPause = 500 * time.Millisecond
	// peersStale is the age of the copy from which a VM that learns by its peers turns to
	// the store: those that follow the feed may all be gone or cut off. With a look and a
	// reading a change is then in force after 2.8 s, of the 3 s that are promised for some 85
	// VMs. In calm times no copy of 6 to 320 VMs was older than 1.9 s (mirror,
	// TestCalmFleetSharesItsQuestions).
	peersStale = 2500 * time.Millisecond
	// followLook is the pause between two looks at whether to follow the feed.
	followLook = 200 * time.Millisecond
	// retryPause is the wait after a failed read of the store and its peers.
	retryPause = 200 * time.Millisecond
	// calmRetryPause is the same, at least, for a VM that has a copy and learns by its peers
	// as long as they hear from the store. In an outage all of a large fleet would turn to the
	// store, where the few that follow the feed find out as well that it is back.
	calmRetryPause = 2 * time.Second
	// readTimeout bounds a read of a whole table.
	readTimeout = time.Second
	// feedTimeout bounds one call to the feed, which itself waits for changes up to
	// FeedWait.
	feedTimeout = FeedWait + time.Second
	// peersSettleRoom is for how much longer than a peer this VM holds that rows may come back,
	// as it learns of them later. With retryPause, in which the peer finds the store back, and
	// settleTime, a replica that leaves as soon as the store is back is left after 2.8 s, of the
	// 3 s that some 85 VMs are given.
	peersSettleRoom = 400 * time.Millisecond
	// settleTime is how long after an outage of the store a row that vanished may still
	// come back, as its writer has to reach the store first.
	settleTime = 2200 * time.Millisecond
)

// FeedWait is how long a call to the feed waits for a change. That the store has lost it
// meanwhile is noticed by calls beside it (confirmMost), and a connection that went silent
// by the kernel's probes as well.
const FeedWait = 8 * time.Second

// Peers asks other VMs for their copy of a table.
type Peers interface {
	// Fetch returns what a peer's copy has beyond the revision, 0 asks for the whole table, and
	// up to which revision that copy is the newest, its own at least. Ok is false when no peer
	// answered. The age is the time since the peer's copy was confirmed to be the newest.
	Fetch(ctx context.Context, table string, after uint64) (change platform.TableChange, age time.Duration, ok bool)
}

// Options configure a Follower.
type Options struct {
	Table  string
	Feed   platform.Feed
	Peers  Peers
	Logger *zap.Logger
	// FollowsFeed says whether this VM follows the store's feed. In a large fleet a few do,
	// and the others copy from them: each change would otherwise cost a call of every VM.
	FollowsFeed func() bool
	// VMs returns how many VMs there are, at least 1.
	VMs func() int
	// RetryGroup are shared by the tables of this VM.
	RetryGroup *RetryGroup
	// OnChange is called with each new view, one at a time.
	OnChange func(platform.TableView)
}

// Follower keeps a copy of one table.
type Follower struct {
	Options
	view atomic.Pointer[platform.TableView]
	// confirmed is when the store or a peer last answered that the view is current.
	confirmed atomic.Pointer[time.Time]
	// askSoon makes the peers be asked without waiting for their turn.
	askSoon chan struct{}

	publishing sync.Mutex // one view at a time; guards the field below
	history    history

	mu        sync.Mutex // guards the fields below
	storeDown bool
	regained  time.Time
	// peersSettled is until when a peer settles, by its last word of that.
	peersSettled time.Time
	// followerHeard is when a peer that follows the feed last answered.
	followerHeard time.Time
	// unchanged is the revision up to which the feed had nothing beyond the copy.
	unchanged uint64
	// feedCall ends the call to the feed that is under way, nil if there is none.
	feedCall context.CancelCauseFunc
	// doubted says that a call failed while another was waiting.
	doubted bool
}

// New returns a follower without a copy; Run fills it.
func New(o Options) *Follower { return &Follower{Options: o, askSoon: make(chan struct{}, 1)} }

// View returns the newest copy, or nil before the first.
func (f *Follower) View() *platform.TableView { return f.view.Load() }

// revision is that of the newest copy, 0 before the first.
func (f *Follower) revision() uint64 {
	if at := f.View(); at != nil {
		return at.Revision
	}
	return 0
}

// Age is the time since the store or a peer last confirmed the copy.
func (f *Follower) Age() time.Duration {
	at := f.confirmed.Load()
	if at == nil {
		return time.Duration(1<<63 - 1)
	}
	// A VM that was frozen finds its monotonic clock where it was.
	now := time.Now()
	return max(now.Sub(*at), now.Round(0).Sub(at.Round(0)))
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var beside sync.WaitGroup
	beside.Go(func() { f.gossip(ctx) })
	beside.Go(func() { f.keepConfirmed(ctx) })
	defer beside.Wait()
	failed, tried := false, false
	for ctx.Err() == nil {
		if f.learnsByPeers() {
			f.forgetStore()
			tried = false
			sleep.For(ctx, followLook)
			continue
		}
		if !tried && !f.awaitTurn(ctx) {
			continue
		}
		// After a failure the whole table is read: the answer comes at once and tells that
		// the store is back, where the feed would wait for the next change.
		reread := f.takeDoubt() || failed || f.View() == nil
		err := f.step(ctx, reread)
		if ctx.Err() != nil {
			return
		}
		failed, tried = err != nil, err != nil
		f.note(err)
		switch {
		case err == nil:
			sleep.For(ctx, feedPause)
		case !errors.Is(err, platform.ErrHistoryGone):
			f.restAfterFailure(ctx)
		}
	}
}

// restAfterFailure waits after a failed read of the store. Peers are asked beside it: those
// that are silent take 2.5 s at most, in which the store may be back.
func (f *Follower) restAfterFailure(ctx context.Context) {
	select {
	case f.askSoon <- struct{}{}:
	default: // they are to be asked already
	}
	if f.View() != nil && !f.FollowsFeed() {
		f.RetryGroup.leave(f)
		f.waitCalmly(ctx, f.turnPause())
		return
	}
	if !f.waitForOther(ctx) {
		sleep.For(ctx, retryPause)
	}
}

// learnsByPeers reports whether this VM may leave the store alone for now.
func (f *Follower) learnsByPeers() bool {
	return f.View() != nil && !f.FollowsFeed() && f.Age() < peersStale
}

// applyTo publishes a change of the copy of a revision, unless the copy has moved on. It
// reports whether it did.
func (f *Follower) applyTo(revision uint64, change platform.TableChange, from string, at time.Time) bool {
	now := f.View()
	if now == nil || now.Revision != revision {
		return false
	}
	f.publish(now.Apply(change), from, at)
	return true
}

// Since returns what a copy of a revision lacks of this VM's, nothing before this VM
// has one, and the time since this VM's was confirmed to be the newest.
func (f *Follower) Since(after uint64) (change platform.TableChange, age time.Duration, ok bool) {
	f.publishing.Lock()
	defer f.publishing.Unlock()
	view := f.View()
	if view == nil {
		return platform.TableChange{}, 0, false
	}
	change = f.history.since(*view, after)
	change.UnchangedUpTo = f.position(view.Revision)
	change.SettlingLeft = f.tellsSettling()
	change.Settling = change.SettlingLeft > 0
	change.ByFeed = f.FollowsFeed()
	return change, f.Age(), true
}

// confirm notes that this VM's copy was the newest at that time.
func (f *Follower) confirm(at time.Time) {
	for {
		old := f.confirmed.Load()
		if f.View() == nil || old != nil && at.Before(*old) || f.confirmed.CompareAndSwap(old, &at) {
			return
		}
	}
}

// publish takes over a newer view, which was the newest at that time.
func (f *Follower) publish(view platform.TableView, from string, at time.Time) {
	f.publishing.Lock()
	defer f.publishing.Unlock()
	old := f.view.Load()
	if old != nil && view.Revision < old.Revision {
		f.Logger.Info("older copy of a table refused", zap.String("table", f.Table), zap.String("from", from),
			zap.Uint64("revision", view.Revision), zap.Uint64("have", old.Revision))
		return
	}
	if old != nil && view.Revision == old.Revision && from == "peer" {
		f.confirm(at)
		return
	}
	if old != nil {
		f.history.add(*old, view)
	}
	f.view.Store(&view)
	f.confirm(at)
	if from == "peer" {
		f.Logger.Info("table learned from a peer", zap.String("table", f.Table), zap.Uint64("revision", view.Revision))
	}
	f.OnChange(view)
}
