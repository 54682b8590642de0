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

// resetStoreState discards that this VM's last call to the store failed, once it copies from peers.
func (f *Follower) resetStoreState() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeDown {
		f.Logger.Info("table followed by peers", zap.String("table", f.Table))
	}
	f.storeDown = false
	f.RetryGroup.leave(f)
}

// recordPeerSettling records for how long after askedAt a peer expects rows back.
func (f *Follower) recordPeerSettling(askedAt time.Time, left time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peersSettledAt = askedAt.Add(left)
}

// Settling reports whether missing rows may still reappear, because they can have expired in an outage
// of the store. A failed call of this VM is no such outage, and what peers say of their own settling
// does not count: their confirmations show the outage, and times of different VMs would add up.
func (f *Follower) Settling() bool { return f.settlingLeft() > 0 }

// settlingLeft returns for how long rows may still reappear, 0 if they may not. During an outage that is
// the full settling time.
func (f *Follower) settlingLeft() time.Duration {
	if f.View() != nil && f.Age() >= minOutage {
		return settlingTime
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(0, time.Until(f.settlesAt))
}
