package follow

import (
	"time"

	"go.uber.org/zap"
)

// minOutage is the shortest time without a confirmation in which entries can expire. The platform
// deletes an entry after three heartbeats of 1.2 s without one, and the last one before an outage may be
// one heartbeat old; 0.2 s are left for heartbeats that come early. A shorter time, such as that of a
// refused or a lost call, takes no entry away: one that is missing after it was deleted by its replica.
const minOutage = 2200 * time.Millisecond

// confirmation says that a copy was current at a time, and since when whoever confirms it has had it
// confirmed without a gap of minOutage. In such a run the store could be written, so that no entry has
// expired.
type confirmation struct {
	at, steadySince time.Time
}

// confirmedAt returns the confirmation by an answer of the store itself.
func confirmedAt(at time.Time) confirmation { return confirmation{at: at, steadySince: at} }

// markConfirmed records a confirmation of this VM's copy. A gap of minOutage between this VM's run of
// confirmations and that of the confirming peer is an outage of the store. A peer whose run covers the
// gap shows that only this VM could not reach the store.
func (f *Follower) markConfirmed(c confirmation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.confirmedAt.Load()
	if f.View() == nil || last != nil && c.at.Before(*last) {
		return
	}
	f.confirmedAt.Store(&c.at)
	switch {
	case last == nil:
		f.steadySince = c.steadySince
	case c.steadySince.Sub(*last) >= minOutage:
		f.steadySince = c.steadySince
		f.settlesAt = c.steadySince.Add(settlingTime)
		f.Logger.Info("entries may have expired in an outage of the store", zap.String("table", f.Table),
			zap.Duration("outage", c.steadySince.Sub(*last)), zap.Duration("expectedBackFor", time.Until(f.settlesAt)))
	}
}

// steadyFor returns how long this VM's copy has been confirmed without a gap of minOutage.
func (f *Follower) steadyFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.steadySince)
}
