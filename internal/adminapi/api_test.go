package adminapi

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

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

func draftModel() confstore.Proposal {
	return confstore.Proposal{
		ID: "c2", Kind: config.EntityModel, Name: "draft", Value: []byte(`{"layers":8,"versions":["v1"]}`),
	}
}

// An operator creates, reads and changes a workspace. A change without the ETag
// that was read, or with an old one, is refused and shows the present entity;
// the two operators would otherwise overwrite each other.
func TestChangeNeedsTheETagThatWasRead(t *testing.T) {
	store := newFakeStore(t)
	c := newClient(t, Options{Store: store})
	const path = "/admin/v1/workspaces/crews"
	c.want(c.send("PUT", path, `{"weight":2}`), 428, "precondition-required")
	c.want(c.send("PUT", path, `{"weight":2}`, "If-None-Match: *"), 200, `"status":"accepted"`, `"version":1`)
	c.want(c.send("PUT", path, `{"weight":3}`, "If-None-Match: *"), 412, `"weight":2`)
	read := c.send("GET", path, "")
	c.want(read, 200, `"weight":2`)
	tag := "If-Match: " + read.header.Get("ETag")
	c.want(c.send("PUT", path, `{"weight":5}`, tag), 200, `"version":2`)
	lost := c.send("PUT", path, `{"weight":7}`, tag)
	c.want(lost, 412, `"weight":5`, `"code":"conflict"`, `"revision":2`)
	if lost.header.Get("ETag") != `"2"` {
		t.Fatalf("conflict's ETag %s", lost.header.Get("ETag"))
	}
	c.want(c.send("DELETE", path, ""), 428)
	c.want(c.send("DELETE", path, "", `If-Match: "2"`), 200, `"version":3`)
	c.want(c.send("GET", path, ""), 404)
	if author := store.proposed[0].Author; author != "ana" {
		t.Fatalf("author %q", author)
	}
}

// While a VM has not confirmed the change, the operator is told which, and that
// the change is committed. An answer that was lost is pending too, with its id.
func TestPendingIsSaidWithNames(t *testing.T) {
	store := newFakeStore(t)
	c := newClient(t, Options{Store: store})
	store.missing = []string{"vm-5"}
	c.want(c.send("PUT", "/admin/v1/workspaces/crews", `{}`, "If-None-Match: *"),
		202, `"status":"pending"`, `"committed":true`, `"missing":["vm-5"]`)
	c.want(c.send("GET", "/admin/v1/changes/1?wait=1ms", ""), 200, `"missing":["vm-5"]`, `"name":"crews"`)
	store.fail = &confstore.PendingError{ID: "abc", Version: 2, Cause: errors.New("lost")}
	c.want(c.send("PUT", "/admin/v1/workspaces/desk", `{}`, "If-None-Match: *"),
		202, `"status":"pending"`, `"committed":false`, `"id":"abc"`)
	store.fail = &confstore.NotWrittenError{ID: "abc", Cause: errors.New("table is out")}
	c.want(c.send("PUT", "/admin/v1/workspaces/desk", `{}`, "If-None-Match: *"), 503, "Nothing was written")
}

// Everything that is wrong with an entity comes in one answer, with its place.
func TestAllFindingsAreReportedTogether(t *testing.T) {
	c := newClient(t, Options{Store: newFakeStore(t)})
	r := c.send("PUT", "/admin/v1/profiles/permits",
		`{"workspace":"nobody","class":"call","urgency":"urgent","service":"","path":"x","deadline":"0s","limits":{}}`,
		"If-None-Match: *")
	c.want(r, 422, "profile.permits.workspace", "profile.permits.service", "profile.permits.path", "profile.permits.deadline")
	if r.header.Get("Content-Type") != "application/problem+json" {
		t.Fatalf("content type %s", r.header.Get("Content-Type"))
	}
}

// Whoever has no token, a wrong one or too weak a role learns nothing and changes
// nothing, on unknown paths as well.
func TestTokensAndRoles(t *testing.T) {
	store := newFakeStore(t, crews())
	c := newClient(t, Options{Store: store})
	for _, path := range []string{"/admin/v1/workspaces/crews", "/admin/v1/dump", "/nothing"} {
		c.want(c.send("GET", path, "", "Authorization: Bearer wrong"), 401, "not known")
		c.want(c.send("GET", path, "", "Authorization: Basic x"), 401, "Bearer TOKEN")
	}
	c.want(c.send("GET", "/admin/v1/workspaces/crews", "", "Authorization: Bearer reader"), 200)
	c.want(c.send("DELETE", "/admin/v1/workspaces/crews", "", "Authorization: Bearer reader", `If-Match: "1"`),
		403, "rosa has the role read")
	c.want(c.send("POST", "/admin/v1/targets/gpu-1/drain", "", "Authorization: Bearer reader"), 403)
	c.want(c.send("GET", "/nothing", ""), 404, "not-found")
	c.want(c.send("PATCH", "/admin/v1/workspaces/crews", ""), 404, "not-found")
	if len(store.changes) != 1 {
		t.Fatalf("%d changes", len(store.changes))
	}
}

// An operator reads a workspace, changes its weight and sends it back. No answer
// shows a key's digest, and the keys are still there afterwards.
func TestKeyDigestsAreHiddenAndKept(t *testing.T) {
	store := newFakeStore(t, crews())
	c := newClient(t, Options{Store: store})
	const path = "/admin/v1/workspaces/crews"
	read := c.send("GET", path, "")
	c.want(read, 200, `"keyDigestCount":1`)
	edited := strings.Replace(read.body, `"weight":2`, `"weight":9`, 1)
	c.want(c.send("PUT", path, edited, `If-Match: "1"`), 200)
	if w := store.Current().Workspaces["crews"]; w.Weight != 9 || len(w.KeyDigests) != 1 {
		t.Fatalf("workspace %+v", w)
	}
	answers := []reply{
		read, c.send("GET", "/admin/v1/workspaces", ""), c.send("GET", "/admin/v1/changes", ""),
		c.send("GET", "/admin/v1/changes/1", ""), c.send("GET", "/admin/v1/changes?id=c1", ""),
		c.send("PUT", path, `{}`, `If-Match: "1"`),
		c.send("PUT", path, `{"keyDigests":["`+digest+`","bad"]}`, `If-Match: "2"`),
	}
	for i, r := range answers {
		if strings.Contains(r.body, digest) {
			t.Errorf("answer %d shows a key's digest: %s", i, r.body)
		}
	}
	c.want(c.send("PUT", path, `{"keyDigests":[]}`, `If-Match: "2"`), 200)
	if w := store.Current().Workspaces["crews"]; len(w.KeyDigests) != 0 {
		t.Fatalf("%d keys left", len(w.KeyDigests))
	}
}

// The VM that is asked lags behind: a key was revoked and a target taken back
// through another VM. A workspace that is sent back without its digests keeps those
// of the revision that was read, not the revoked one, and a drain is not answered
// with "unchanged" from the old view.
func TestLaggingVMCatchesUpBeforeItAnswers(t *testing.T) {
	draining := engineTarget()
	draining.Value = []byte(strings.Replace(string(draining.Value), `"slots":4`, `"slots":4,"state":"draining"`, 1))
	store := newFakeStore(t, crews(), draftModel(), draining)
	c := newClient(t, Options{Store: store})
	store.onPoll = func() {
		store.onPoll = nil
		revoked := confstore.Proposal{ID: "c4", Kind: config.EntityWorkspace, Name: "crews", Value: []byte(`{}`), IfRevision: 1}
		active := engineTarget()
		active.IfRevision = 3
		for _, p := range []confstore.Proposal{revoked, active} {
			if _, err := store.Propose(context.Background(), p); err != nil {
				t.Error(err)
			}
		}
	}
	lagging := store.Current()
	c.want(c.send("PUT", "/admin/v1/workspaces/crews", `{"weight":3}`, `If-Match: "4"`), 200)
	if w := store.Current().Workspaces["crews"]; w.Weight != 3 || len(w.KeyDigests) != 0 {
		t.Fatalf("workspace %+v", w)
	}
	newest := store.Current()
	store.Set(lagging)
	store.onPoll = func() { store.Set(newest) }
	c.want(c.send("POST", "/admin/v1/targets/gpu-1/drain", ""), 200, `"version":7`)
}

// An operator drains a target while another one changes its slots. Both changes
// stand, and a drain that is repeated writes nothing.
func TestDrainOverwritesNobodysChange(t *testing.T) {
	store := newFakeStore(t, draftModel(), engineTarget())
	c := newClient(t, Options{Store: store})
	store.before = func() {
		other := engineTarget()
		other.IfRevision = 2
		other.Value = []byte(strings.Replace(string(other.Value), `"slots":4`, `"slots":6`, 1))
		if _, err := store.Propose(context.Background(), other); err != nil {
			t.Error(err)
		}
	}
	c.want(c.send("POST", "/admin/v1/targets/gpu-1/drain", ""), 200, `"version":4`)
	if target := store.Current().Targets["gpu-1"]; target.State != config.StateDraining || target.Slots != 6 {
		t.Fatalf("target %+v", target)
	}
	c.want(c.send("POST", "/admin/v1/targets/gpu-1/drain", ""), 200, `"unchanged":true`, `"version":4`)
	c.want(c.send("POST", "/admin/v1/targets/gpu-1/undrain", ""), 200, `"version":5`)
	c.want(c.send("POST", "/admin/v1/targets/gpu-2/drain", ""), 404)
	reloaded := engineTarget()
	reloaded.IfRevision = 5
	reloaded.Value = []byte(strings.Replace(string(reloaded.Value), `"slots":4`, `"slots":4,"state":"reloading"`, 1))
	if _, err := store.Propose(context.Background(), reloaded); err != nil {
		t.Fatal(err)
	}
	c.want(c.send("POST", "/admin/v1/targets/gpu-1/undrain", ""), 409, `"code":"reloading"`)
	c.want(c.send("GET", "/admin/v1/targets", ""), 200, `"uncheckedCallers":["gpu-1"]`, `"ignoreFencing":["gpu-1"]`)
}

// The program hangs on a lock and the operator asks for the dump: the answer
// comes after the bound with the stacks, and repeated tries wait for the one dump.
func TestDumpAnswersWhileStuck(t *testing.T) {
	stuck := make(chan struct{})
	var taken atomic.Int32
	c := newClient(t, Options{Store: newFakeStore(t), DumpBound: time.Millisecond, Dump: func() any {
		taken.Add(1)
		<-stuck
		return "free"
	}})
	for range 3 {
		c.want(c.send("GET", "/admin/v1/dump", ""), 200, `"stuck":true`, "dumper")
	}
	close(stuck)
	if taken.Load() != 1 {
		t.Fatalf("%d dumps under way at once", taken.Load())
	}
}

// Oversized input costs the VM a bounded read and is refused.
func TestSizesAreBounded(t *testing.T) {
	c := newClient(t, Options{Store: newFakeStore(t)})
	large := `{"weight":` + strings.Repeat(" ", MaxBodyBytes) + `1}`
	c.want(c.send("PUT", "/admin/v1/workspaces/crews", large, "If-None-Match: *"), 413, "too-large")
	c.want(c.send("GET", "/admin/v1/version", "", "X-Long: "+strings.Repeat("a", 2*MaxHeaderBytes)), 431)
	for _, bad := range []string{"", "{", "null", `{} {}`} {
		c.want(c.send("PUT", "/admin/v1/workspaces/crews", bad, "If-None-Match: *"), 400)
	}
	c.want(c.send("GET", "/admin/v1/changes/1?wait=1h", ""), 400)
}

// Scripts that wait for long take all places. A further request is answered at once
// with what is in force; it would otherwise add to the load without a bound.
func TestWaitsAreBounded(t *testing.T) {
	store := newFakeStore(t, crews())
	store.missing, store.waiting = []string{"vm-5"}, make(chan struct{})
	c := newClient(t, Options{Store: store})
	ctx, leave := context.WithCancel(context.Background())
	var waiting sync.WaitGroup
	for range maxWaits {
		waiting.Go(func() { c.sendIn(ctx, "GET", "/admin/v1/changes/1?wait=30s") })
		<-store.waiting
	}
	c.want(c.send("GET", "/admin/v1/changes/1?wait=30s", ""), 200, `"missing":["vm-5"]`)
	leave()
	waiting.Wait()
}
