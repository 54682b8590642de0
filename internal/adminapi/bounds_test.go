package adminapi

import (
	"context"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Oversized input costs the VM a bounded read and is refused.
func TestSizesAreBounded(t *testing.T) {
	Convey("Given an API", t, func() {
		store := newFakeStore(t, crews())
		c := newClient(t, Options{Store: store})

		Convey("a body, a head and a wait above their bounds are refused", func() {
			large := `{"weight":` + strings.Repeat(" ", MaxBodyBytes) + `1}`
			c.want(c.send("PUT", "/admin/v1/workspaces/desk", large, "If-None-Match: *"), 413, "too-large")
			c.want(c.send("GET", "/admin/v1/version", "", "X-Long: "+strings.Repeat("a", 2*MaxHeaderBytes)), 431)
			c.want(c.send("GET", "/admin/v1/changes/1?wait=1h", ""), 400)
		})

		Convey("a body that is not one JSON object is refused", func() {
			for _, bad := range []string{"", "{", "null", `{} {}`} {
				c.want(c.send("PUT", "/admin/v1/workspaces/desk", bad, "If-None-Match: *"), 400)
			}
		})

		Convey("a change's id that is long or not printable is refused", func() {
			for _, id := range []string{strings.Repeat("i", maxIDLength+1), "two words", "\u00e9"} {
				c.want(c.send("PUT", "/admin/v1/workspaces/desk", `{}`, "If-None-Match: *", "Idempotency-Key: "+id), 400, "Idempotency-Key")
			}
		})

		So(store.changes, ShouldHaveLength, 1)
	})
}

// Scripts that wait for long take all places. A further request is answered at once
// with what is in force; it would otherwise add to the load without a bound.
func TestWaitsAreBounded(t *testing.T) {
	Convey("Given as many waits as there are places", t, func() {
		store := newFakeStore(t, crews())
		store.missing, store.waiting = []string{"vm-5"}, make(chan struct{})
		c := newClient(t, Options{Store: store})
		ctx, leave := context.WithCancel(context.Background())
		var waiting sync.WaitGroup
		defer waiting.Wait()
		defer leave()
		for range maxWaits {
			waiting.Go(func() { c.sendIn(ctx, "GET", "/admin/v1/changes/1?wait=30s") })
			<-store.waiting
		}

		Convey("one more is answered without a wait", func() {
			c.want(c.send("GET", "/admin/v1/changes/1?wait=30s", ""), 200, `"missing":["vm-5"]`)
		})
	})
}
