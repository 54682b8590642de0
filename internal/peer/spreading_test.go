package peer

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestChangeIsInForceOnAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6, Settings{})
		defer f.stop()
		f.within(10*time.Second, "all know all", f.joined(6))
		version := f.vm(2).change("a")
		f.within(2*time.Second, "the change is in force on all", f.allAt(version))
		f.within(time.Second, "the origin knows", func() bool {
			confirmed, missing := f.vm(2).node.InForce(version)
			return len(confirmed) == 6 && len(missing) == 0
		})
	})
}
