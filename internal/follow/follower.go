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
	// feedInterval is the pause between two feed calls. Replicas come and go in bursts, and
	// without the pause the change of each replica would cost every VM a call. With it, changes
	// are seen within half a second, a quarter of the time within which they have to be in force.
	feedInterval = 500 * time.Millisecond
	// maxPeerCopyAge is the age of the copy at which a VM that copies from its peers turns to the
	// store: all peers that follow the feed may have failed or be cut off. Including one role
	// check and one read, a change is then in force after 2.8 s; 3 s are promised for about 85
	// VMs. Without faults no copy of 6 to 320 VMs was older than 1.9 s (package mirror,
	// TestCalmFleetSharesItsQuestions).
	maxPeerCopyAge = 2500 * time.Millisecond
	// relayDelay is how much older copies may be where changes reach most VMs by way of relays: a
	// relay's interval, and requestTimeout of package mirror for one of its peers that is dead.
	relayDelay = relayGossipInterval + 300*time.Millisecond
	// roleCheckInterval is the time between two checks of whether this VM is to follow the feed.
	roleCheckInterval = 200 * time.Millisecond
	// retryDelay is the wait after a failed read of the store and its peers.
	retryDelay = 200 * time.Millisecond
	// peerRetryDelay is the minimum of that wait for a VM that has a copy and copies from its
	// peers as long as the store answers them. In an outage a whole large fleet would otherwise
	// turn to the store, although the few VMs that follow the feed also detect that it has recovered.
	peerRetryDelay = 2 * time.Second
	// readTimeout bounds the read of a whole table.
	readTimeout = time.Second
	// feedTimeout bounds one feed call, which itself waits for changes up to FeedWait.
	feedTimeout = FeedWait + time.Second
	// settlingTime is how long after an outage of the store a row that is missing may still
	// reappear, as its writer has to reach the store first.
	settlingTime = 2200 * time.Millisecond
)

// FeedWait is how long a feed call waits for a change. A call that the store has lost is detected
// by concurrent calls (confirmMaxAge); a connection that went silent is also detected by the
// kernel's probes.
const FeedWait = 8 * time.Second

// Peers fetches the copies that other VMs have of a table.
type Peers interface {
	// Fetch returns what a peer's copy has beyond after; the zero cursor asks for the whole table.
	// The change's UnchangedUpTo is the revision up to which that copy is current, at least the
	// copy's own. age is the time since the peer's copy was confirmed to be current. ok is false
	// if no peer answered.
	Fetch(ctx context.Context, table string, after platform.Cursor) (change platform.TableChange, age time.Duration, ok bool)
}

// Options configure a Follower.
type Options struct {
	Table  string
	Feed   platform.Feed
	Peers  Peers
	Logger *zap.Logger
	// FollowsFeed reports whether this VM follows the store's feed. In a large fleet only a few
	// VMs do and the others copy from them; otherwise each change would cost a call of every VM.
	FollowsFeed func() bool
	// Relays reports whether this VM does not follow the feed, but copies from VMs that do, and
	// most other VMs copy from it. Nil means never.
	Relays func() bool
	// Relayed reports whether the fleet is so large that changes reach most VMs by way of relays.
	// Nil means that it is not.
	Relayed func() bool
	// RelayCount returns the number of VMs in the fleet that relay. Nil means none.
	RelayCount func() int
	// PeersKnown reports whether the list of VMs was read, so that FollowsFeed holds and peers can
	// be asked. Nil means always.
	PeersKnown func() bool
	// VMs returns the number of VMs in the fleet, at least 1.
	VMs func() int
	// ContentVersion returns the writer's own version of the table's content, which never falls; nil
	// for tables without one. ok is false if the rows can't be read. A content of a lower version
	// is not taken over, whatever its place in the store's history: the store may come back from an
	// older copy, and what its writer had written stays in force until it is written again.
	ContentVersion func(rows map[string][]byte) (version uint64, ok bool)
	// Eras has the eras that this VM has heard of. It may be nil.
	Eras *platform.Eras
	// RetryGroup is shared by the tables of this VM.
	RetryGroup *RetryGroup
	// OnChange is called with each new view, one call at a time.
	OnChange func(platform.TableView)
}

// Follower keeps a copy of one table. It is safe for concurrent use.
type Follower struct {
	Options
	view atomic.Pointer[platform.TableView]
	// confirmedAt is when the store or a peer last confirmed that the view is current.
	confirmedAt atomic.Pointer[time.Time]
	// askPeersNow makes the gossip loop ask peers at once.
	askPeersNow chan struct{}

	publishMu sync.Mutex // serializes publish; guards the field below
	history   history
	// content is the highest version of a content that was taken over, 0 if there was none.
	content atomic.Uint64

	mu        sync.Mutex // guards the fields below
	storeDown bool
	// steadySince is the start of the present run of confirmations, see confirmation.
	steadySince time.Time
	// settlesAt is when rows that expired in the last outage have had the time to be written again.
	settlesAt time.Time
	// peersSettledAt is when peers stop settling, according to the latest answer that said so.
	peersSettledAt time.Time
	// lastFeedPeerAnswer is when a peer that follows the feed last answered.
	lastFeedPeerAnswer time.Time
	// unchangedUpTo is the store's version up to which the copy is known to be current, in the era of
	// the copy. One of another era has no effect.
	unchangedUpTo platform.Version
	// cancelFeed cancels the pending feed call; nil if there is none.
	cancelFeed context.CancelCauseFunc
	// rereadWanted says that a concurrent call failed and the table has to be read again.
	rereadWanted bool
}

// New returns a Follower without a copy. Run fetches it and keeps it current.
func New(o Options) *Follower {
	never := func() bool { return false }
	if o.Relays == nil {
		o.Relays = never
	}
	if o.Relayed == nil {
		o.Relayed = never
	}
	if o.RelayCount == nil {
		o.RelayCount = func() int { return 0 }
	}
	if o.PeersKnown == nil {
		o.PeersKnown = func() bool { return true }
	}
	f := &Follower{Options: o, askPeersNow: make(chan struct{}, 1)}
	if o.Eras != nil {
		o.Eras.OnRaise(func(uint64) { f.onEraRaised() })
	}
	return f
}

// View returns the newest copy, or nil if there is none yet.
func (f *Follower) View() *platform.TableView { return f.view.Load() }

// version returns the version of the newest copy, or the zero version if there is none yet.
func (f *Follower) version() platform.Version {
	if at := f.View(); at != nil {
		return at.Version
	}
	return platform.Version{}
}

// cursor returns what the newest copy holds, the zero cursor if there is none yet.
func (f *Follower) cursor() platform.Cursor {
	return platform.Cursor{Version: f.version(), Content: f.content.Load()}
}

// Age returns the time since the store or a peer last confirmed the copy, and the longest possible
// duration if none has.
func (f *Follower) Age() time.Duration {
	at := f.confirmedAt.Load()
	if at == nil {
		return time.Duration(1<<63 - 1)
	}
	// The monotonic clock may stop while the VM is frozen, so the wall clock counts too.
	now := time.Now()
	return max(now.Sub(*at), now.Round(0).Sub(at.Round(0)))
}

// Run keeps the copy current until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.startFromPeers(ctx)
	if f.ContentVersion != nil && f.View() == nil {
		f.askPeers() // the store may have an older content than peers
	}
	var background sync.WaitGroup
	background.Go(func() { f.gossip(ctx) })
	background.Go(func() { f.confirmLoop(ctx) })
	defer background.Wait()
	failed, retrying := false, false
	for ctx.Err() == nil {
		if f.copiesFromPeers() {
			f.resetStoreState()
			retrying = false
			sleep.For(ctx, roleCheckInterval)
			continue
		}
		if !retrying && !f.awaitTurn(ctx) {
			continue
		}
		// After a failure the whole table is read. That call is answered at once and shows that
		// the store has recovered, whereas the feed would wait for the next change.
		reread := f.takeReread() || failed || f.View() == nil || f.behindEra()
		err := f.readStore(ctx, reread)
		if ctx.Err() != nil {
			return
		}
		failed, retrying = err != nil, err != nil
		f.recordStoreResult(err)
		switch {
		case err == nil:
			sleep.For(ctx, feedInterval)
		case !errors.Is(err, platform.ErrHistoryGone):
			f.waitAfterFailure(ctx)
		}
	}
}

// waitAfterFailure waits after a failed read of the store. Peers are asked concurrently: silent
// ones take up to 2.5 s, and the store may be back before that.
func (f *Follower) waitAfterFailure(ctx context.Context) {
	f.askPeers()
	if f.View() != nil && !f.FollowsFeed() {
		f.RetryGroup.leave(f)
		f.waitForPeers(ctx, f.storeRetryDelay())
		return
	}
	if !f.waitForLeader(ctx) {
		sleep.For(ctx, retryDelay)
	}
}

// askPeers makes the gossip loop ask peers at once.
func (f *Follower) askPeers() {
	select {
	case f.askPeersNow <- struct{}{}:
	default: // a request is already pending
	}
}

// copiesFromPeers reports whether this VM needs no call to the store for now.
func (f *Follower) copiesFromPeers() bool {
	return f.View() != nil && !f.FollowsFeed() && f.Age() < f.maxPeerCopyAge()
}

// maxPeerCopyAge returns the age of the copy at which this VM turns to the store.
func (f *Follower) maxPeerCopyAge() time.Duration {
	if f.Relayed() {
		return maxPeerCopyAge + relayDelay
	}
	return maxPeerCopyAge
}

// applyChange publishes a change to the copy of the given version. It reports false, and does
// nothing, if the copy has a different version by now, or the change is of another era.
func (f *Follower) applyChange(version platform.Version, change platform.TableChange, from string, confirmed confirmation) bool {
	now := f.View()
	if now == nil || now.Version != version || change.Era != version.Era {
		return false
	}
	f.publish(now.Apply(change), from, confirmed)
	return true
}

// Since returns what a copy at after lacks compared with this VM's copy, and the time since this VM's
// copy was confirmed to be current. ok is false if this VM has no copy yet.
func (f *Follower) Since(after platform.Cursor) (change platform.TableChange, age time.Duration, ok bool) {
	f.publishMu.Lock()
	defer f.publishMu.Unlock()
	view := f.View()
	if view == nil {
		return platform.TableChange{}, 0, false
	}
	change = f.history.since(*view, after.Version)
	change.Content = f.content.Load()
	if change.Content > after.Content {
		change.Whole, change.Written, change.Deleted = true, view.Rows, nil
	}
	change.UnchangedUpTo = f.feedPosition(view.Version)
	change.SettlingLeft = f.settlingLeft()
	change.Settling = change.SettlingLeft > 0
	change.SteadyFor = f.steadyFor()
	change.ByFeed = f.FollowsFeed()
	change.ByRelay = f.Relays() && f.hasFeedPeer()
	return change, f.Age(), true
}
