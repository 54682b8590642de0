package adminapi

import (
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// The program hangs on a lock and the operator asks for the dump: the answer
// comes after the bound with the stacks, and repeated tries wait for the one dump.
func TestDumpAnswersWhileStuck(t *testing.T) {
	Convey("Given a program that hangs", t, func() {
		stuck := make(chan struct{})
		defer close(stuck)
		var taken atomic.Int32
		c := newClient(t, Options{Store: newFakeStore(t), DumpTimeout: time.Millisecond, Dump: func() any {
			taken.Add(1)
			<-stuck
			return "free"
		}})

		Convey("each request gets the stacks, and one dump is under way for all", func() {
			for range 3 {
				c.want(c.send("GET", "/admin/v1/dump", ""), 200, `"stuck":true`, "dumper")
			}
			So(taken.Load(), ShouldEqual, 1)
		})
	})
}

// A part's dump has a bug. The operator gets an error, and the process goes on with
// the requests that it has in hand: the dump runs in a goroutine of its own, in which
// a panic would end it.
func TestDumpThatPanicsEndsNothing(t *testing.T) {
	Convey("Given a dump that panics once", t, func() {
		var taken atomic.Int32
		c := newClient(t, Options{Store: newFakeStore(t), Dump: func() any {
			if taken.Add(1) == 1 {
				panic("bug")
			}
			return "whole"
		}})

		Convey("the first answer is an error and the next one whole", func() {
			c.want(c.send("GET", "/admin/v1/dump", ""), 500, `"code":"internal"`)
			c.want(c.send("GET", "/admin/v1/dump", ""), 200, `"whole"`)
		})
	})
}
