package adminapi

import (
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// The dump waits for a lock that is never released. The response comes after
// DumpTimeout and contains the stacks, and further requests join the same run.
func TestStuckDumpReturnsStacks(t *testing.T) {
	Convey("Given a dump that hangs", t, func() {
		release := make(chan struct{})
		defer close(release)
		var dumps atomic.Int32
		c := newClient(t, Options{Store: newFakeStore(t), DumpTimeout: time.Millisecond, Dump: func() any {
			dumps.Add(1)
			<-release
			return "free"
		}})

		Convey("each request gets the stacks, and all share one run", func() {
			for range 3 {
				c.expect(c.send("GET", "/admin/v1/dump", ""), 200, `"stuck":true`, "dumper")
			}
			So(dumps.Load(), ShouldEqual, 1)
		})
	})
}

// The dump of a component panics. The operator gets an error and the process keeps
// running: the dump runs in its own goroutine, where a panic would end the process
// and all requests in progress.
func TestDumpThatPanicsEndsNothing(t *testing.T) {
	Convey("Given a dump that panics once", t, func() {
		var dumps atomic.Int32
		c := newClient(t, Options{Store: newFakeStore(t), Dump: func() any {
			if dumps.Add(1) == 1 {
				panic("bug")
			}
			return "whole"
		}})

		Convey("the first request gets an error and the next one the dump", func() {
			c.expect(c.send("GET", "/admin/v1/dump", ""), 500, `"code":"internal"`)
			c.expect(c.send("GET", "/admin/v1/dump", ""), 200, `"whole"`)
		})
	})
}
