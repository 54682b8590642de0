package follow

import (
	"time"

	"geraniumcroft/internal/platform"
)

// onEraRaised runs when this VM has heard, from whichever call or peer, that the store has come back
// from an older copy. The pending feed call, if any, asks from a revision of the era before.
func (f *Follower) onEraRaised() {
	if f.FollowsFeed() {
		f.cancelFeedCall(platform.ErrHistoryGone)
		return
	}
	f.askPeers()
}

// behindEra reports whether the copy is of an earlier era than the newest one that this VM has heard of.
func (f *Follower) behindEra() bool {
	view := f.View()
	return f.Eras != nil && view != nil && view.Era < f.Eras.Current()
}

// beginSettling records that the copy is the first one of a new era. Rows may be missing that their
// writers wrote before the store came back from an older copy, until they are written again. A VM that
// gets the copy from a peer has as much time left as that peer has said, or none.
func (f *Follower) beginSettling(from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	settlesAt := f.peersSettledAt
	if from == fromStore {
		settlesAt = time.Now().Add(settlingTime)
	}
	if settlesAt.After(f.settlesAt) {
		f.settlesAt = settlesAt
	}
}
