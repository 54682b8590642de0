package mirror

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/platform"
)

// A replica leaves as soon as the store has recovered from an outage. Its entry is deleted, but a VM
// that assumes that entries may still reappear continues to send requests to it. 3 s after the
// store has acknowledged the departure, no requests may arrive from about 85 VMs. The VMs that
// follow the feed stop in time; the others learn from them, and so later.
func TestReplicaThatLeavesAfterAnOutageIsLeftInTime(t *testing.T) {
	const (
		drained = 3 * time.Second
		// written is when the live replicas have written their entries again.
		written = 2 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		f := newSpreadFleet(83)
		stop := f.start(t)
		defer stop()
		time.Sleep(5 * time.Second)
		f.set(func() { f.storeDown = true })
		time.Sleep(8 * time.Second)
		f.set(func() { f.storeDown = false })
		time.Sleep(written)
		for _, vm := range f.vms {
			if !vm.follower.Settling() {
				t.Errorf("%s (follows the feed: %t) treats missing rows as deleted %s after the store's return", vm.Name, vm.follows, written)
			}
		}
		time.Sleep(drained - written)
		followers, others := 0, 0
		for _, vm := range f.vms {
			switch {
			case !vm.follower.Settling():
			case vm.follows:
				followers++
			default:
				others++
			}
		}
		if followers+others > 0 {
			t.Errorf("%s after the store's return %d VMs that follow the feed and %d others still use replicas that have left", drained, followers, others)
		}
	})
}

// Guards against a VM that expects entries back for a further interval, because less than a millisecond of
// its peer's time was left and the answer said nothing of it.
func TestLastMomentOfSettlingIsReported(t *testing.T) {
	change := platform.TableChange{Version: platform.Version{Revision: 1}, Settling: true, SettlingLeft: time.Microsecond}
	s := NewServer(func(string, platform.Cursor) (platform.TableChange, time.Duration, bool) { return change, 0, true }, nil, zap.NewNop())
	if a, err := s.respond(fetchRequest{Brief: true}); err != nil || a.SettlingLeftMS != 1 {
		t.Errorf("%d ms reported of %s, error %v", a.SettlingLeftMS, change.SettlingLeft, err)
	}
}
