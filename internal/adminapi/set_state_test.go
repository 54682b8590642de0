package adminapi

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/confstore"
)

// This VM's configuration is outdated: a key was revoked and a target undrained
// through another VM. A workspace that is sent back without its digests must get
// those of the revision that was read, not the revoked one, and a drain must not be
// answered with "unchanged" from the outdated configuration.
func TestLaggingVMCatchesUpBeforeItAnswers(t *testing.T) {
	Convey("Given a VM without the latest changes, a revoked key and an undrained target", t, func() {
		draining := engineTarget()
		draining.Value = withState(draining.Value, "draining")
		store := newFakeStore(t, crewsWorkspace(), draftModel(), draining)
		c := newClient(t, Options{Store: store})
		lagging := store.Current()
		revoked := confstore.Proposal{ID: "c4", Kind: config.EntityWorkspace, Name: "crews", Value: []byte(`{}`), IfRevision: 1}
		store.mustPropose(t, revoked)
		active := engineTarget()
		active.IfRevision = 3
		store.mustPropose(t, active)
		newest := store.Current()
		store.Set(lagging)
		store.onPoll = func() { store.Set(newest) }

		Convey("a workspace sent back without digests does not get the revoked one", func() {
			c.expect(c.send("PUT", "/admin/v1/workspaces/crews", `{"weight":3}`, `If-Match: "4"`), 200)
			So(store.Current().Workspaces["crews"].Weight, ShouldEqual, 3)
			So(store.Current().Workspaces["crews"].KeyDigests, ShouldBeEmpty)
		})

		Convey("a drain is a change and is not answered as unchanged", func() {
			drained := c.send("POST", "/admin/v1/targets/gpu-1/drain", "")
			c.expect(drained, 200, `"version":6`)
			So(drained.body, ShouldNotContainSubstring, `"unchanged":true`)
			So(store.Current().Targets["gpu-1"].State, ShouldEqual, config.StateDraining)
		})
	})
}

// An operator drains a target while another operator changes its slots. Both changes
// take effect, and a repeated drain writes nothing.
func TestDrainOverwritesNobodysChange(t *testing.T) {
	Convey("Given a target whose slots another operator changes during the drain", t, func() {
		store := newFakeStore(t, draftModel(), engineTarget())
		c := newClient(t, Options{Store: store})
		store.beforePropose = func() {
			other := engineTarget()
			other.IfRevision = 2
			other.Value = []byte(strings.Replace(string(other.Value), `"slots":4`, `"slots":6`, 1))
			store.mustPropose(t, other)
		}
		c.expect(c.send("POST", "/admin/v1/targets/gpu-1/drain", ""), 200, `"version":4`)

		Convey("both changes take effect", func() {
			So(store.Current().Targets["gpu-1"].State, ShouldEqual, config.StateDraining)
			So(store.Current().Targets["gpu-1"].Slots, ShouldEqual, 6)
		})

		Convey("a repeated drain writes nothing, and the target can be undrained", func() {
			c.expect(c.send("POST", "/admin/v1/targets/gpu-1/drain", ""), 200, `"unchanged":true`, `"version":4`)
			c.expect(c.send("POST", "/admin/v1/targets/gpu-1/undrain", ""), 200, `"version":5`)
			So(store.Current().Targets["gpu-1"].State, ShouldEqual, config.StateActive)
		})

		Convey("a target that is being reloaded can't be undrained", func() {
			reloaded := engineTarget()
			reloaded.IfRevision = 4
			reloaded.Value = withState(reloaded.Value, "reloading")
			store.mustPropose(t, reloaded)
			c.expect(c.send("POST", "/admin/v1/targets/gpu-1/undrain", ""), 409, `"code":"reloading"`)
		})

		Convey("an unknown target is not found", func() {
			c.expect(c.send("POST", "/admin/v1/targets/gpu-2/drain", ""), 404)
		})

		Convey("the list names the targets that check too little", func() {
			c.expect(c.send("GET", "/admin/v1/targets", ""), 200, `"uncheckedCallers":["gpu-1"]`, `"ignoreFencing":["gpu-1"]`)
		})
	})
}
