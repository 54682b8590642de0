package admincmd

import (
	"bytes"
	"context"
	"encoding/pem"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/subcommands"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumcroft/internal/adminapi"
	"geraniumcroft/internal/confstore"
	"geraniumcroft/internal/harness/standin/platformsim"
	"geraniumcroft/internal/invariant"
)

const token = "operators-token"

// singleToken accepts only token.
type singleToken struct{}

func (singleToken) Authenticate(presented string) (string, adminapi.Role, bool) {
	return "ana", adminapi.RoleOperate, presented == token
}

// fixedConfirmer reports the VMs in missing as not having any version in force.
type fixedConfirmer struct{ missing []string }

func (c *fixedConfirmer) InForce(uint64) (confirmed, missing []string) { return nil, c.missing }

// fixture is an admin API with a store on a simulated platform, and a directory for files.
type fixture struct {
	t         *testing.T
	dir       string
	url       string
	platform  *platformsim.Store
	confirmer *fixedConfirmer
	handler   http.Handler
	// dropResponses is the number of changes whose responses are dropped: the API makes the
	// change, then the connection is closed.
	dropResponses atomic.Int64
}

func newFixture(t *testing.T) *fixture {
	b := &fixture{t: t, dir: t.TempDir(), platform: platformsim.NewStore(), confirmer: &fixedConfirmer{}}
	store := confstore.New(confstore.Options{
		Table: b.platform, Objects: b.platform, VM: "vm-1", Invariants: invariant.Strict(),
	})
	api, err := adminapi.New(adminapi.Options{
		Store: store, Confirmer: b.confirmer, Authenticator: singleToken{},
		VMs:    func() any { return []vmRow{{Name: "vm-1", DataCentre: "hall-a", State: "alive", Version: 7}} },
		Leases: func() any { return map[string]string{"orders": "vm-1"} },
		Dump:   func() any { return map[string]string{"state": "whole"} },
	})
	if err != nil {
		t.Fatal(err)
	}
	b.handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet && b.dropResponses.Add(-1) >= 0 {
			api.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		api.ServeHTTP(w, r)
	})
	server := httptest.NewServer(b.handler)
	t.Cleanup(server.Close)
	b.url = server.URL
	b.file("token", token+"\n")
	return b
}

func (b *fixture) file(name, content string) string {
	b.t.Helper()
	path := filepath.Join(b.dir, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		b.t.Fatal(err)
	}
	return path
}

// run executes a command line and returns its exit code and output.
func (b *fixture) run(line ...string) (code int, out, err string) {
	var stdout, stderr bytes.Buffer
	top := flag.NewFlagSet("geraniumcroft", flag.ContinueOnError)
	top.SetOutput(&stderr)
	commander := subcommands.NewCommander(top, "geraniumcroft")
	commander.Output, commander.Error = &stdout, &stderr
	register(commander, output{out: &stdout, err: &stderr})
	if parseErr := top.Parse(line); parseErr != nil {
		b.t.Fatal(parseErr)
	}
	code = int(commander.Execute(context.Background()))
	return code, stdout.String(), stderr.String()
}

// want executes a command against the API and checks its exit code, that its output contains
// part and that it does not contain the token. It must be called within a Convey.
func (b *fixture) want(code int, part string, line ...string) string {
	b.t.Helper()
	line = append(line, "-admin", b.url, "-token-file", filepath.Join(b.dir, "token"))
	got, out, errs := b.run(line...)
	all := out + errs
	SoMsg(all, got, ShouldEqual, code)
	So(all, ShouldContainSubstring, part)
	So(all, ShouldNotContainSubstring, token)
	return out
}

// createTarget creates a model and a target that serves it.
func (b *fixture) createTarget() {
	b.t.Helper()
	b.want(0, "version 1", "model", "set", "draft", "-f", b.file("m", `{"layers":8,"versions":["v1"]}`))
	b.want(0, "version 2", "target", "set", "gpu-1", "-f", b.file("t",
		`{"address":"127.0.0.1:9001","dataCentre":"hall-a","kind":"engine","model":"draft","version":"v1",`+
			`"layers":{"from":0,"to":8},"slots":4}`))
}

// A target is set with a file that was edited since it was read. A second change with a file of
// the old revision fails with exit code 3 and prints the present target.
func TestSetShowAndConflict(t *testing.T) {
	Convey("Given a target that was read, edited and set again", t, func() {
		b := newFixture(t)
		b.createTarget()
		shown := b.want(0, `"slots": 4`, "target", "show", "gpu-1")
		edited := b.file("edited", strings.Replace(shown, `"slots": 4`, `"slots": 6`, 1))
		b.want(0, "version 3 is in force everywhere", "target", "set", "gpu-1", "-f", edited)

		Convey("a file of an old revision gets a conflict and the present target", func() {
			b.want(3, `"slots":6`, "target", "set", "gpu-1", "-f", edited)
			b.want(3, "present revision 3", "target", "set", "gpu-1", "-f", filepath.Join(b.dir, "t"))
		})

		Convey("a drained target is listed as such, and a second drain changes nothing", func() {
			b.want(0, "version 4", "target", "drain", "gpu-1")
			b.want(0, "unchanged", "target", "drain", "gpu-1")
			b.want(0, "draining", "target", "list")
		})

		Convey("the list shows its model and layers, and that it does not check its callers", func() {
			list := b.want(0, "active", "target", "list")
			for _, part := range []string{"NAME", "draft@v1 0-8", "do not check their callers: gpu-1", "old fencing number: gpu-1"} {
				So(list, ShouldContainSubstring, part)
			}
			b.want(0, `"uncheckedCallers"`, "target", "list", "-json")
		})

		Convey("its model cannot be deleted before it, nor can it be at an old revision", func() {
			b.want(1, "is held by target gpu-1", "model", "delete", "draft")
			b.want(3, "is at revision 3, not 2", "target", "delete", "gpu-1", "-revision", "2")
			b.want(0, "version 4", "target", "delete", "gpu-1")
			b.want(1, "There is no target", "target", "show", "gpu-1")
			b.want(0, "delete", "change", "list", "-after", "3")
		})

		Convey("its changes, the VMs and the leases can be read", func() {
			b.want(0, `"name": "gpu-1"`, "change", "show", "2")
			b.want(0, "version 2", "change", "wait", "2")
			b.want(0, "hall-a", "vm", "list")
			b.want(0, "orders", "vm", "leases")
		})
	})
}

// All findings about a file are printed, one on each line.
func TestFindingsArePrinted(t *testing.T) {
	Convey("A profile with two faults is refused with both findings", t, func() {
		b := newFixture(t)
		file := b.file("p", `{"workspace":"x","class":"call","urgency":"bulk","deadline":"0s","limits":{},"path":"/","service":"s"}`)
		b.want(1, "profile.permits.workspace: unknown workspace", "profile", "set", "permits", "-f", file)
		b.want(1, "profile.permits.deadline: 0s is out of range", "profile", "set", "permits", "-f", file)
	})
}

// If a VM has not confirmed a change when the wait ends, the command fails and names the VM, so
// that a script does not continue as if the change were in force.
func TestPendingChangeFailsWithNames(t *testing.T) {
	Convey("Given a VM that does not confirm a change", t, func() {
		b := newFixture(t)
		b.confirmer.missing = []string{"vm-5"}
		file := b.file("w", `{"weight":2}`)
		b.want(1, "version 1 is committed, not yet in force on vm-5", "workspace", "set", "crews", "-f", file, "-wait", "1ms")

		Convey("a wait for the change fails and names the VM", func() {
			b.want(1, "vm-5", "change", "wait", "1", "-wait", "1ms")
		})

		Convey("a wait succeeds once the VM has confirmed the change", func() {
			b.confirmer.missing = nil
			b.want(0, "version 1", "change", "wait", "1")
		})
	})
}

// If the response to a change is lost, the command sends the request again under the same id and
// gets the result of the first. Under another id it would report a conflict with its own change.
func TestLostAnswerIsAskedForAgain(t *testing.T) {
	Convey("Given a workspace", t, func() {
		b := newFixture(t)
		file := b.file("w", `{"weight":2}`)

		Convey("a change whose response is lost is made once and reported as in force", func() {
			b.dropResponses.Store(1)
			b.want(0, "version 1 is in force", "workspace", "set", "crews", "-f", file)
			So(b.dropResponses.Load(), ShouldBeLessThan, 1)
			So(strings.Count(b.want(0, "crews", "change", "list"), "\n"), ShouldEqual, 2)
		})

		Convey("a change that the store refuses during an outage is reported as not written", func() {
			b.platform.Faults.Set(platformsim.Order{Outage: platformsim.OutageRefuse})
			b.want(1, "Nothing was written", "workspace", "set", "crews", "-f", file)
		})
	})
}

// If the server at the address redirects, by mistake or on purpose, the command fails and does
// not send the operator's token to the target of the redirect.
func TestTokenIsNotCarriedByARedirect(t *testing.T) {
	Convey("Given a server that redirects to another", t, func() {
		b := newFixture(t)
		requests := 0
		other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests++ }))
		defer other.Close()
		redirecting := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusTemporaryRedirect))
		defer redirecting.Close()

		Convey("the command fails and sends no request to the other", func() {
			b.url = redirecting.URL
			b.want(1, "307", "profile", "list")
			So(requests, ShouldEqual, 0)
		})
	})
}

// The admin listener has a TLS certificate of a private authority. The commands, dump among them,
// succeed with the authority's file and fail without it.
func TestCommandsOverTLS(t *testing.T) {
	Convey("Given a listener with TLS", t, func() {
		b := newFixture(t)
		secure := httptest.NewTLSServer(b.handler)
		defer secure.Close()
		b.url = secure.URL
		authority := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: secure.Certificate().Raw})
		file := b.file("ca", string(authority))

		Convey("the commands succeed with the file of its authority", func() {
			b.want(0, "hall-a", "vm", "list", "-ca-file", file)
			b.want(0, `"state": "whole"`, "dump", "-ca-file", file)
		})

		Convey("they fail without the file, or with one that holds no certificate", func() {
			b.want(1, "certificate", "vm", "list")
			b.want(1, "certificate", "dump")
			b.want(2, "holds no certificate", "dump", "-ca-file", b.file("empty", "nothing"))
		})
	})
}

// Bad usage has its own exit code and prints an error that says what is allowed.
func TestBadUsage(t *testing.T) {
	b := newFixture(t)
	tokenFile := filepath.Join(b.dir, "token")
	for _, line := range [][]string{
		{"profile"},
		{"dump", "now", "-admin", b.url, "-token-file", tokenFile},
		{"dump", "-admin", "vm.example:80", "-token-file", tokenFile},
		{"profile", "rename", "x"},
		{"profile", "show"},
		{"profile", "list", "-unknown"},
		{"profile", "list", "-token-file", tokenFile},
		{"profile", "list", "-admin", "http://vm.example:80", "-token-file", tokenFile},
		{"profile", "list", "-admin", "ftp://127.0.0.1:80", "-token-file", tokenFile},
		{"profile", "list", "-admin", b.url},
		{"profile", "list", "-admin", b.url, "-token-file", b.file("two", "a b")},
		{"profile", "set", "x", "-admin", b.url, "-token-file", tokenFile},
		{"profile", "set", "x", "-f", b.file("bad", "{"), "-admin", b.url, "-token-file", tokenFile},
		{"change", "wait", "soon", "-admin", b.url, "-token-file", tokenFile},
	} {
		if code, _, errs := b.run(line...); code != int(exitUsage) || errs == "" {
			t.Errorf("%v: exit %d\n%s", line, code, errs)
		}
	}
	wrong := b.file("wrong", "another")
	if code, _, errs := b.run("profile", "list", "-admin", b.url, "-token-file", wrong); code != 1 || !strings.Contains(errs, "not known") {
		t.Errorf("wrong token: exit %d\n%s", code, errs)
	}
}
