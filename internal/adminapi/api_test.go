package adminapi

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/confstore"
)

const digest = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

func crews() confstore.Proposal {
	return confstore.Proposal{
		ID: "c1", Kind: config.EntityWorkspace, Name: "crews",
		Value: []byte(`{"weight":2,"keyDigests":["` + digest + `"]}`),
	}
}

func engineTarget() confstore.Proposal {
	return confstore.Proposal{
		ID: "c3", Kind: config.EntityTarget, Name: "gpu-1",
		Value: []byte(`{"address":"127.0.0.1:9001","dataCentre":"lima-surco","kind":"engine","model":"draft",` +
			`"version":"v1","layers":{"from":0,"to":8},"slots":4}`),
	}
}

// withState returns the target with a state of its own.
func withState(target []byte, state string) []byte {
	return []byte(strings.Replace(string(target), `"slots":4`, `"slots":4,"state":"`+state+`"`, 1))
}

func draftModel() confstore.Proposal {
	return confstore.Proposal{
		ID: "c2", Kind: config.EntityModel, Name: "draft", Value: []byte(`{"layers":8,"versions":["v1"]}`),
	}
}

// An operator creates, reads and changes a workspace. A change without the ETag
// that was read, or with an old one, is refused and shows the present entity;
// the two operators would otherwise overwrite each other.
func TestChangeNeedsTheETagThatWasRead(t *testing.T) {
	const path = "/admin/v1/workspaces/crews"
	Convey("Given an API without workspaces", t, func() {
		store := newFakeStore(t)
		c := newClient(t, Options{Store: store})

		Convey("a change without a condition is refused", func() {
			c.want(c.send("PUT", path, `{"weight":2}`), 428, "precondition-required")
			So(store.proposed, ShouldBeEmpty)
		})

		Convey("and a workspace that was created in the author's name", func() {
			c.want(c.send("PUT", path, `{"weight":2}`, "If-None-Match: *"), 200, `"status":"accepted"`, `"version":1`)
			So(store.proposed[0].Author, ShouldEqual, "ana")
			read := c.send("GET", path, "")
			c.want(read, 200, `"weight":2`)
			tag := "If-Match: " + read.header.Get("ETag")

			Convey("it cannot be created again", func() {
				c.want(c.send("PUT", path, `{"weight":3}`, "If-None-Match: *"), 412, `"weight":2`)
			})

			Convey("the ETag that was read changes it once, and then shows what is there", func() {
				c.want(c.send("PUT", path, `{"weight":5}`, tag), 200, `"version":2`)
				lost := c.send("PUT", path, `{"weight":7}`, tag)
				c.want(lost, 412, `"weight":5`, `"code":"conflict"`, `"revision":2`)
				So(lost.header.Get("ETag"), ShouldEqual, `"2"`)
			})

			Convey("it is deleted with its ETag alone", func() {
				c.want(c.send("DELETE", path, ""), 428)
				c.want(c.send("PUT", path, `{"weight":5}`, tag), 200, `"version":2`)
				c.want(c.send("DELETE", path, "", tag), 412)
				c.want(c.send("DELETE", path, "", `If-Match: "2"`), 200, `"version":3`)
				c.want(c.send("GET", path, ""), 404)
			})
		})
	})
}

// While a VM has not confirmed the change, the operator is told which, and that
// the change is committed. An answer that was lost is pending too, with its id.
func TestPendingIsSaidWithNames(t *testing.T) {
	Convey("Given a VM that confirms nothing", t, func() {
		store := newFakeStore(t)
		store.missing = []string{"vm-5"}
		c := newClient(t, Options{Store: store})
		create := func(name string) reply {
			return c.send("PUT", "/admin/v1/workspaces/"+name, `{}`, "If-None-Match: *")
		}

		Convey("a change is pending with the VM's name, and so is a wait for it", func() {
			c.want(create("crews"), 202, `"status":"pending"`, `"committed":true`, `"missing":["vm-5"]`)
			c.want(c.send("GET", "/admin/v1/changes/1?wait=1ms", ""), 200, `"missing":["vm-5"]`, `"name":"crews"`)
		})

		Convey("a change whose answer was lost is pending with its id, and not called committed", func() {
			store.fail = &confstore.PendingError{ID: "abc", Version: 2, Cause: errors.New("lost")}
			c.want(create("desk"), 202, `"status":"pending"`, `"committed":false`, `"id":"abc"`)
		})

		Convey("a change that was certainly not written is refused", func() {
			store.fail = &confstore.NotWrittenError{ID: "abc", Cause: errors.New("table is out")}
			c.want(create("desk"), 503, "Nothing was written")
		})
	})
}

// Everything that is wrong with an entity comes in one answer, with its place.
func TestAllFindingsAreReportedTogether(t *testing.T) {
	Convey("A profile with four faults is refused with all four", t, func() {
		c := newClient(t, Options{Store: newFakeStore(t)})
		r := c.send("PUT", "/admin/v1/profiles/permits",
			`{"workspace":"nobody","class":"call","urgency":"urgent","service":"","path":"x","deadline":"0s","limits":{}}`,
			"If-None-Match: *")
		c.want(r, 422, "profile.permits.workspace", "profile.permits.service", "profile.permits.path", "profile.permits.deadline")
		So(r.header.Get("Content-Type"), ShouldEqual, "application/problem+json")
	})
}

// Whoever has no token, a wrong one or too weak a role learns nothing and changes
// nothing, on unknown paths as well.
func TestTokensAndRoles(t *testing.T) {
	const path = "/admin/v1/workspaces/crews"
	const reader = "Authorization: Bearer reader"
	Convey("Given a workspace", t, func() {
		store := newFakeStore(t, crews())
		c := newClient(t, Options{Store: store})

		Convey("an unknown token and another scheme are refused on every path", func() {
			for _, path := range []string{path, "/admin/v1/dump", "/nothing"} {
				c.want(c.send("GET", path, "", "Authorization: Bearer wrong"), 401, "not known")
				c.want(c.send("GET", path, "", "Authorization: Basic x"), 401, "Bearer TOKEN")
			}
		})

		Convey("a reader reads, and neither deletes nor drains", func() {
			c.want(c.send("GET", path, "", reader), 200)
			c.want(c.send("DELETE", path, "", reader, `If-Match: "1"`), 403, "rosa has the role read")
			c.want(c.send("POST", "/admin/v1/targets/gpu-1/drain", "", reader), 403)
		})

		Convey("an operator's unknown path or method is not found", func() {
			c.want(c.send("GET", "/nothing", ""), 404, "not-found")
			c.want(c.send("PATCH", path, ""), 404, "not-found")
		})

		So(store.changes, ShouldHaveLength, 1)
	})
}

// An operator reads a workspace, changes its weight and sends it back. No answer
// shows a key's digest, and the keys are still there afterwards.
func TestKeyDigestsAreHiddenAndKept(t *testing.T) {
	const path = "/admin/v1/workspaces/crews"
	Convey("Given a workspace with a key that was read and sent back", t, func() {
		store := newFakeStore(t, crews())
		c := newClient(t, Options{Store: store})
		read := c.send("GET", path, "")
		c.want(read, 200, `"keyDigestCount":1`)
		edited := strings.Replace(read.body, `"weight":2`, `"weight":9`, 1)
		c.want(c.send("PUT", path, edited, `If-Match: "1"`), 200)

		Convey("the change is in force and the key kept", func() {
			So(store.Current().Workspaces["crews"].Weight, ShouldEqual, 9)
			So(store.Current().Workspaces["crews"].KeyDigests, ShouldHaveLength, 1)
		})

		Convey("no answer shows the digest, a refusal neither", func() {
			for _, r := range []reply{
				read, c.send("GET", "/admin/v1/workspaces", ""), c.send("GET", "/admin/v1/changes", ""),
				c.send("GET", "/admin/v1/changes/1", ""), c.send("GET", "/admin/v1/changes?id=c1", ""),
				c.send("PUT", path, `{}`, `If-Match: "1"`),
				c.send("PUT", path, `{"keyDigests":["`+digest+`","bad"]}`, `If-Match: "2"`),
			} {
				So(r.body, ShouldNotBeEmpty)
				So(r.body, ShouldNotContainSubstring, digest)
			}
		})

		Convey("an empty list of digests takes the key away", func() {
			c.want(c.send("PUT", path, `{"keyDigests":[]}`, `If-Match: "2"`), 200)
			So(store.Current().Workspaces["crews"].KeyDigests, ShouldBeEmpty)
		})
	})
}

// The VM that is asked lags behind: a key was revoked and a target taken back
// through another VM. A workspace that is sent back without its digests keeps those
// of the revision that was read, not the revoked one, and a drain is not answered
// with "unchanged" from the old view.
func TestLaggingVMCatchesUpBeforeItAnswers(t *testing.T) {
	Convey("Given a VM that has not heard of a revoked key and of a target taken back", t, func() {
		draining := engineTarget()
		draining.Value = withState(draining.Value, "draining")
		store := newFakeStore(t, crews(), draftModel(), draining)
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
			c.want(c.send("PUT", "/admin/v1/workspaces/crews", `{"weight":3}`, `If-Match: "4"`), 200)
			So(store.Current().Workspaces["crews"].Weight, ShouldEqual, 3)
			So(store.Current().Workspaces["crews"].KeyDigests, ShouldBeEmpty)
		})

		Convey("a drain is a change and not answered as unchanged", func() {
			drained := c.send("POST", "/admin/v1/targets/gpu-1/drain", "")
			c.want(drained, 200, `"version":6`)
			So(drained.body, ShouldNotContainSubstring, `"unchanged":true`)
			So(store.Current().Targets["gpu-1"].State, ShouldEqual, config.StateDraining)
		})
	})
}

// An operator drains a target while another one changes its slots. Both changes
// stand, and a drain that is repeated writes nothing.
func TestDrainOverwritesNobodysChange(t *testing.T) {
	Convey("Given a target whose slots another operator changes during the drain", t, func() {
		store := newFakeStore(t, draftModel(), engineTarget())
		c := newClient(t, Options{Store: store})
		store.before = func() {
			other := engineTarget()
			other.IfRevision = 2
			other.Value = []byte(strings.Replace(string(other.Value), `"slots":4`, `"slots":6`, 1))
			store.mustPropose(t, other)
		}
		c.want(c.send("POST", "/admin/v1/targets/gpu-1/drain", ""), 200, `"version":4`)

		Convey("both changes stand", func() {
			So(store.Current().Targets["gpu-1"].State, ShouldEqual, config.StateDraining)
			So(store.Current().Targets["gpu-1"].Slots, ShouldEqual, 6)
		})

		Convey("a repeated drain writes nothing, and the target can be taken back", func() {
			c.want(c.send("POST", "/admin/v1/targets/gpu-1/drain", ""), 200, `"unchanged":true`, `"version":4`)
			c.want(c.send("POST", "/admin/v1/targets/gpu-1/undrain", ""), 200, `"version":5`)
			So(store.Current().Targets["gpu-1"].State, ShouldEqual, config.StateActive)
		})

		Convey("a target that is being reloaded is not taken back", func() {
			reloaded := engineTarget()
			reloaded.IfRevision = 4
			reloaded.Value = withState(reloaded.Value, "reloading")
			store.mustPropose(t, reloaded)
			c.want(c.send("POST", "/admin/v1/targets/gpu-1/undrain", ""), 409, `"code":"reloading"`)
		})

		Convey("an unknown target is not found", func() {
			c.want(c.send("POST", "/admin/v1/targets/gpu-2/drain", ""), 404)
		})

		Convey("the list names the targets that check too little", func() {
			c.want(c.send("GET", "/admin/v1/targets", ""), 200, `"uncheckedCallers":["gpu-1"]`, `"ignoreFencing":["gpu-1"]`)
		})
	})
}

// The program hangs on a lock and the operator asks for the dump: the answer
// comes after the bound with the stacks, and repeated tries wait for the one dump.
func TestDumpAnswersWhileStuck(t *testing.T) {
	Convey("Given a program that hangs", t, func() {
		stuck := make(chan struct{})
		defer close(stuck)
		var taken atomic.Int32
		c := newClient(t, Options{Store: newFakeStore(t), DumpBound: time.Millisecond, Dump: func() any {
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
