package adminapi

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/confstore"
)

const digest = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

func crewsWorkspace() confstore.Proposal {
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

// withState returns the target's JSON with a state added.
func withState(target []byte, state string) []byte {
	return []byte(strings.Replace(string(target), `"slots":4`, `"slots":4,"state":"`+state+`"`, 1))
}

func draftModel() confstore.Proposal {
	return confstore.Proposal{
		ID: "c2", Kind: config.EntityModel, Name: "draft", Value: []byte(`{"layers":8,"versions":["v1"]}`),
	}
}

// Operators must not overwrite each other's changes: a change with an outdated ETag
// or without one is refused, and after a conflict the response contains the present
// entity.
func TestChangeRequiresCurrentETag(t *testing.T) {
	const path = "/admin/v1/workspaces/crews"
	Convey("Given an API without workspaces", t, func() {
		store := newFakeStore(t)
		c := newClient(t, Options{Store: store})

		Convey("a change without a condition is refused", func() {
			c.expect(c.send("PUT", path, `{"weight":2}`), 428, "precondition-required")
			So(store.proposed, ShouldBeEmpty)
		})

		Convey("and a workspace whose creation records the author", func() {
			c.expect(c.send("PUT", path, `{"weight":2}`, "If-None-Match: *"), 200, `"status":"accepted"`, `"version":1`)
			So(store.proposed[0].Author, ShouldEqual, "ana")
			read := c.send("GET", path, "")
			c.expect(read, 200, `"weight":2`)
			tag := "If-Match: " + read.header.Get("ETag")

			Convey("it cannot be created again", func() {
				c.expect(c.send("PUT", path, `{"weight":3}`, "If-None-Match: *"), 412, `"weight":2`)
			})

			Convey("its ETag can be used for one change, then the response has the present entity", func() {
				c.expect(c.send("PUT", path, `{"weight":5}`, tag), 200, `"version":2`)
				lost := c.send("PUT", path, `{"weight":7}`, tag)
				c.expect(lost, 412, `"weight":5`, `"code":"conflict"`, `"revision":2`)
				So(lost.header.Get("ETag"), ShouldEqual, `"2"`)
			})

			Convey("it can only be deleted with its present ETag", func() {
				c.expect(c.send("DELETE", path, ""), 428)
				c.expect(c.send("PUT", path, `{"weight":5}`, tag), 200, `"version":2`)
				c.expect(c.send("DELETE", path, "", tag), 412)
				c.expect(c.send("DELETE", path, "", `If-Match: "2"`), 200, `"version":3`)
				c.expect(c.send("GET", path, ""), 404)
			})
		})
	})
}

// While a VM has not confirmed a change, the response names the VM and says that the
// change is committed. If the table's response was lost, the change is pending as
// well and the response has its ID.
func TestPendingChangeNamesMissingVMs(t *testing.T) {
	Convey("Given a VM that confirms nothing", t, func() {
		store := newFakeStore(t)
		store.missing = []string{"vm-5"}
		c := newClient(t, Options{Store: store})
		create := func(name string) reply {
			return c.send("PUT", "/admin/v1/workspaces/"+name, `{}`, "If-None-Match: *")
		}

		Convey("a change is pending with the VM's name, and so is a wait for it", func() {
			c.expect(create("crews"), 202, `"status":"pending"`, `"committed":true`, `"missing":["vm-5"]`)
			c.expect(c.send("GET", "/admin/v1/changes/1?wait=1ms", ""), 200, `"missing":["vm-5"]`, `"name":"crews"`)
		})

		Convey("a change whose result was lost is pending with its ID and not committed", func() {
			store.proposeErr = &confstore.PendingError{ID: "abc", Version: 2, Cause: errors.New("lost")}
			c.expect(create("desk"), 202, `"status":"pending"`, `"committed":false`, `"id":"abc"`)
		})

		Convey("a change that was definitely not written is refused", func() {
			store.proposeErr = &confstore.NotWrittenError{ID: "abc", Cause: errors.New("table is out")}
			c.expect(create("desk"), 503, "Nothing was written")
		})
	})
}

// One response reports all errors of an entity, each with its field.
func TestAllFindingsAreReportedTogether(t *testing.T) {
	Convey("A profile with four errors is refused with all four", t, func() {
		c := newClient(t, Options{Store: newFakeStore(t)})
		r := c.send("PUT", "/admin/v1/profiles/permits",
			`{"workspace":"nobody","class":"call","urgency":"urgent","service":"","path":"x","deadline":"0s","limits":{}}`,
			"If-None-Match: *")
		c.expect(r, 422, "profile.permits.workspace", "profile.permits.service", "profile.permits.path", "profile.permits.deadline")
		So(r.header.Get("Content-Type"), ShouldEqual, "application/problem+json")
	})
}

// Without a valid token a client learns nothing, not even whether a path exists. With
// a role that is not sufficient it changes nothing.
func TestTokensAndRoles(t *testing.T) {
	const path = "/admin/v1/workspaces/crews"
	const reader = "Authorization: Bearer reader"
	Convey("Given a workspace", t, func() {
		store := newFakeStore(t, crewsWorkspace())
		c := newClient(t, Options{Store: store})

		Convey("an unknown token and another scheme are refused on every path", func() {
			for _, path := range []string{path, "/admin/v1/dump", "/nothing"} {
				c.expect(c.send("GET", path, "", "Authorization: Bearer wrong"), 401, "not known")
				c.expect(c.send("GET", path, "", "Authorization: Basic x"), 401, "Bearer TOKEN")
			}
		})

		Convey("a reader can read, but neither delete nor drain", func() {
			c.expect(c.send("GET", path, "", reader), 200)
			c.expect(c.send("DELETE", path, "", reader, `If-Match: "1"`), 403, "rosa has the role read")
			c.expect(c.send("POST", "/admin/v1/targets/gpu-1/drain", "", reader), 403)
		})

		Convey("an operator gets 404 for an unknown path or method", func() {
			c.expect(c.send("GET", "/nothing", ""), 404, "not-found")
			c.expect(c.send("PATCH", path, ""), 404, "not-found")
		})

		So(store.changes, ShouldHaveLength, 1)
	})
}

// An operator reads a workspace, changes its weight and sends it back. The workspace
// keeps its keys, although no response contains their digests.
func TestKeyDigestsAreHiddenAndKept(t *testing.T) {
	const path = "/admin/v1/workspaces/crews"
	Convey("Given a workspace with a key that was read, edited and sent back", t, func() {
		store := newFakeStore(t, crewsWorkspace())
		c := newClient(t, Options{Store: store})
		read := c.send("GET", path, "")
		c.expect(read, 200, `"keyDigestCount":1`)
		edited := strings.Replace(read.body, `"weight":2`, `"weight":9`, 1)
		c.expect(c.send("PUT", path, edited, `If-Match: "1"`), 200)

		Convey("the change is in force and the key is kept", func() {
			So(store.Current().Workspaces["crews"].Weight, ShouldEqual, 9)
			So(store.Current().Workspaces["crews"].KeyDigests, ShouldHaveLength, 1)
		})

		Convey("no response contains the digest, refusals included", func() {
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

		Convey("an empty list of digests removes the key", func() {
			c.expect(c.send("PUT", path, `{"keyDigests":[]}`, `If-Match: "2"`), 200)
			So(store.Current().Workspaces["crews"].KeyDigests, ShouldBeEmpty)
		})
	})
}
