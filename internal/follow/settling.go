package follow

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/platform"
)

// recordStoreResult records whether the store answers this VM. ErrHistoryGone counts as an answer.
func (f *Follower) recordStoreResult(err error) {
	down := err != nil && !errors.Is(err, platform.ErrHistoryGone)
	f.mu.Lock()
	defer f.mu.Unlock()
	if down && !f.storeDown {
		f.Logger.Warn("store lost", zap.String("table", f.Table), zap.Stringer("have", f.version()),
			zap.Duration("copyAge", f.Age()), zap.Error(err))
	}
	if !down && f.storeDown {
		f.storeBackAt = time.Now()
		f.Logger.Info("store regained", zap.String("table", f.Table), zap.Stringer("have", f.version()))
	}
	f.storeDown = down
	if !down {
		f.RetryGroup.leave(f)
	}
}

// storeUnavailable reports whether the last call of this VM to the store failed.
func (f *Follower) storeUnavailable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeDown
}

// resetStoreState discards what this VM knows about the store's state, once it copies from peers:
// their answers say whether the store is unavailable.
func (f *Follower) resetStoreState() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeDown {
		f.Logger.Info("table followed by peers", zap.String("table", f.Table))
	}
	f.storeDown, f.storeBackAt = false, time.Time{}
	f.RetryGroup.leave(f)
}

// recordPeerSettling records a peer's answer that rows may reappear for the duration left after
// askedAt. If the peer did not give a duration, the answer counts until peers are asked again.
func (f *Follower) recordPeerSettling(askedAt time.Time, left time.Duration) {
	if left <= 0 {
		left = gossipInterval
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peersSettledAt = askedAt.Add(left)
}

// Settling reports whether missing rows may still reappear after an outage of the store that this
// VM or a peer observed.
func (f *Follower) Settling() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ownSettlingLeft() > 0 || f.peersSettlingLeft()+peerSettlingMargin > 0
}

// ownSettlingLeft returns for how long rows may still reappear, going by this VM's own calls to
// the store. During an outage that is the full settling time. The caller holds f.mu.
func (f *Follower) ownSettlingLeft() time.Duration {
	switch {
	case f.storeDown:
		return settlingTime
	case f.storeBackAt.IsZero():
		return 0
	}
	return max(0, settlingTime-time.Since(f.storeBackAt))
}

// peersSettlingLeft returns for how long peers are still settling; it is negative once they are
// done. The caller holds f.mu.
func (f *Follower) peersSettlingLeft() time.Duration {
	if f.FollowsFeed() || f.peersSettledAt.IsZero() {
		return -peerSettlingMargin
	}
	return time.Until(f.peersSettledAt)
}

// reportedSettling returns for how long rows may reappear, as reported to peers; 0 if they may
// not. It does not include peerSettlingMargin, which would add up from VM to VM. A VM that the
// store rejects but that copies from peers has the current table and reports 0. If it reported
// that rows may reappear, the others would continue to use replicas that have left, 3 s after all
// VMs knew that they had left.
func (f *Follower) reportedSettling() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeDown && f.Age() < f.maxPeerCopyAge() {
		return 0
	}
	return max(0, f.ownSettlingLeft(), f.peersSettlingLeft())
}
