package follow

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/platform"
)

// note remembers whether the store answers this VM.
func (f *Follower) note(err error) {
	down := err != nil && !errors.Is(err, platform.ErrHistoryGone)
	f.mu.Lock()
	defer f.mu.Unlock()
	if down && !f.storeDown {
		f.Logger.Warn("store lost", zap.String("table", f.Table), zap.Uint64("have", f.revision()),
			zap.Duration("copyAge", f.Age()), zap.Error(err))
	}
	if !down && f.storeDown {
		f.regained = time.Now()
		f.Logger.Info("store regained", zap.String("table", f.Table), zap.Uint64("have", f.revision()))
	}
	f.storeDown = down
	if !down {
		f.RetryGroup.leave(f)
	}
}

// lostStore reports whether the store did not answer this VM when it was last asked.
func (f *Follower) lostStore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeDown
}

// forgetStore ends what this VM knows of the store itself, once it learns by peers: they
// say whether the store is away.
func (f *Follower) forgetStore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeDown {
		f.Logger.Info("table followed by peers", zap.String("table", f.Table))
	}
	f.storeDown, f.regained = false, time.Time{}
	f.RetryGroup.leave(f)
}

// peersSettle notes a peer's word that rows may come back for so long after it was asked. One that
// does not say how long is asked again after a pause.
func (f *Follower) peersSettle(asked time.Time, left time.Duration) {
	if left <= 0 {
		left = gossipPause
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peersSettled = asked.Add(left)
}

// Settling reports whether rows that are missing may still come back after an outage
// of the store, as this VM or a peer saw it.
func (f *Follower) Settling() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ownSettlingLeft() > 0 || f.peersSettlingLeft()+peersSettleRoom > 0
}

// ownSettlingLeft is for how long rows may still come back, as this VM saw the store. While the
// store is away that is as long as after its return. The caller holds f.mu.
func (f *Follower) ownSettlingLeft() time.Duration {
	switch {
	case f.storeDown:
		return settleTime
	case f.regained.IsZero():
		return 0
	}
	return max(0, settleTime-time.Since(f.regained))
}

// peersSettlingLeft is for how long a peer goes on settling; below 0 it has ended. The caller
// holds f.mu.
func (f *Follower) peersSettlingLeft() time.Duration {
	if f.FollowsFeed() || f.peersSettled.IsZero() {
		return -peersSettleRoom
	}
	return time.Until(f.peersSettled)
}

// tellsSettling returns for how long rows may come back, as peers are told; 0 if they may not. It
// leaves out the room for this VM's own later news: passed on from VM to VM it would add up. A VM
// that the store turns away, but that learns by peers, has what is in force: were it to say that
// rows may come back, the others would go on with replicas that have left, 3 s after that was
// known everywhere.
func (f *Follower) tellsSettling() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeDown && f.Age() < peersStale {
		return 0
	}
	return max(0, f.ownSettlingLeft(), f.peersSettlingLeft())
}
