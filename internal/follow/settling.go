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
		f.Tries.leave(f)
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
	f.Tries.leave(f)
}

func (f *Follower) peersSettle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peersSettled = time.Now()
}

// Settling reports whether rows that are missing may still come back after an outage
// of the store, as this VM or a peer saw it.
func (f *Follower) Settling() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	own := f.storeDown || !f.regained.IsZero() && time.Since(f.regained) < settleTime
	return own || !f.Follows() && !f.peersSettled.IsZero() && time.Since(f.peersSettled) < peersSettleTime
}

// tellsSettling reports whether peers are to be told that rows may come back. A VM that the
// store turns away, but that learns by peers, has what is in force: were it to say so, the
// others would go on with replicas that have left, 3 s after that was known everywhere.
func (f *Follower) tellsSettling() bool {
	f.mu.Lock()
	turnedAway := f.storeDown && f.Age() < peersStale
	f.mu.Unlock()
	return f.Settling() && !turnedAway
}
