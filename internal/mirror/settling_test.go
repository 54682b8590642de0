package mirror

import (
	"testing"
	"testing/synctest"
	"time"
)

// The store was away, and a replica leaves as soon as it is back. Its entry is gone, but for as
// long as a VM holds that entries may come back it goes on sending requests there. 3 s after the
// store acknowledged that the replica leaves none may arrive at some 85 VMs. Those that follow the
// feed are done in time; the others believe them for a while longer.
func TestReplicaThatLeavesAfterAnOutageIsLeftInTime(t *testing.T) {
	const (
		drained = 3 * time.Second
		// written is when the replicas that are alive have written their entries again.
		written = 2 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		f := newSpreadFleet(83)
		stop := f.start(t)
		defer stop()
		time.Sleep(5 * time.Second)
		f.set(func() { f.away = true })
		time.Sleep(8 * time.Second)
		f.set(func() { f.away = false })
		time.Sleep(written)
		for _, vm := range f.vms {
			if !vm.follower.Settling() {
				t.Errorf("%s (follows the feed: %t) takes what is missing for gone %s after the store's return", vm.Name, vm.follows, written)
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
			t.Errorf("%s after the store's return %d VMs that follow the feed and %d others still use what has left", drained, followers, others)
		}
	})
}
