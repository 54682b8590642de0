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

type oneToken struct{}

func (oneToken) Authenticate(presented string) (string, adminapi.Role, bool) {
	return "ana", adminapi.RoleOperate, presented == token
}

// fixedConfirmer says that some VMs have no version in force.
type fixedConfirmer struct{ missing []string }

func (c *fixedConfirmer) InForce(uint64) (confirmed, missing []string) { return nil, c.missing }

// bench is an admin API over a store on a stand-in platform, and a directory.
type bench struct {
	t         *testing.T
	dir       string
	url       string
	platform  *platformsim.Store
	confirmer *fixedConfirmer
	handler   http.Handler
	// loseAnswers is how many answers of the API break off before their end.
	loseAnswers atomic.Int64
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, dir: t.TempDir(), platform: platformsim.NewStore(), confirmer: &fixedConfirmer{}}
	store := confstore.New(confstore.Options{
		Table: b.platform, Objects: b.platform, VM: "vm-1", Invariants: invariant.Strict(),
	})
	api, err := adminapi.New(adminapi.Options{
		Store: store, Confirmer: b.confirmer, Authenticator: oneToken{},
		VMs:    func() any { return []vmRow{{Name: "vm-1", DataCentre: "hall-a", State: "alive", Version: 7}} },
		Leases: func() any { return map[string]string{"orders": "vm-1"} },
		Dump:   func() any { return map[string]string{"state": "whole"} },
	})
	if err != nil {
		t.Fatal(err)
	}
	b.handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet && b.loseAnswers.Add(-1) >= 0 {
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

func (b *bench) file(name, content string) string {
	b.t.Helper()
	path := filepath.Join(b.dir, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		b.t.Fatal(err)
	}
	return path
}

// run runs one command line and returns its exit code and output.
func (b *bench) run(line ...string) (code int, out, err string) {
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

// want runs a command against the API within a Convey and checks its exit code and
// its output, in which the token never stands.
func (b *bench) want(code int, part string, line ...string) string {
	b.t.Helper()
	line = append(line, "-admin", b.url, "-token-file", filepath.Join(b.dir, "token"))
	got, out, errs := b.run(line...)
	all := out + errs
	SoMsg(all, got, ShouldEqual, code)
	So(all, ShouldContainSubstring, part)
	So(all, ShouldNotContainSubstring, token)
	return out
}

func (b *bench) withEngine() {
	b.t.Helper()
	b.want(0, "version 1", "model", "set", "draft", "-f", b.file("m", `{"layers":8,"versions":["v1"]}`))
	b.want(0, "version 2", "target", "set", "gpu-1", "-f", b.file("t",
		`{"address":"127.0.0.1:9001","dataCentre":"hall-a","kind":"engine","model":"draft","version":"v1",`+
			`"layers":{"from":0,"to":8},"slots":4}`))
}

// An operator sets up a target, reads it, edits what was read and sets it again;
// another operator who still has the old file gets a conflict, exit code 3, and
// the present target.
func TestSetShowAndConflict(t *testing.T) {
	Convey("Given a target that was read, edited and set again", t, func() {
		b := newBench(t)
		b.withEngine()
		shown := b.want(0, `"slots": 4`, "target", "show", "gpu-1")
		edited := b.file("edited", strings.Replace(shown, `"slots": 4`, `"slots": 6`, 1))
		b.want(0, "version 3 is in force everywhere", "target", "set", "gpu-1", "-f", edited)

		Convey("an old file gets a conflict with the present target", func() {
			b.want(3, `"slots":6`, "target", "set", "gpu-1", "-f", edited)
			b.want(3, "present revision 3", "target", "set", "gpu-1", "-f", filepath.Join(b.dir, "t"))
		})

		Convey("a drain is shown, and a repeated one changes nothing", func() {
			b.want(0, "version 4", "target", "drain", "gpu-1")
			b.want(0, "unchanged", "target", "drain", "gpu-1")
			b.want(0, "draining", "target", "list")
		})

		Convey("the list shows what it holds, and whom it does not check", func() {
			list := b.want(0, "active", "target", "list")
			for _, part := range []string{"NAME", "draft@v1 0-8", "do not check their callers: gpu-1", "old fencing number: gpu-1"} {
				So(list, ShouldContainSubstring, part)
			}
			b.want(0, `"uncheckedCallers"`, "target", "list", "-json")
		})

		Convey("its model cannot go before it, nor it at an old revision", func() {
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

// Everything that is wrong with a file is printed, one line each.
func TestFindingsArePrinted(t *testing.T) {
	Convey("A profile with two faults is refused with both", t, func() {
		b := newBench(t)
		file := b.file("p", `{"workspace":"x","class":"call","urgency":"bulk","deadline":"0s","limits":{},"path":"/","service":"s"}`)
		b.want(1, "profile.permits.workspace: unknown workspace", "profile", "set", "permits", "-f", file)
		b.want(1, "profile.permits.deadline: 0s is out of range", "profile", "set", "permits", "-f", file)
	})
}

// A VM has not confirmed the change when the wait ends: the command fails and
// names it, so that a script does not go on as if the change were in force.
func TestPendingChangeFailsWithNames(t *testing.T) {
	Convey("Given a VM that does not confirm a change", t, func() {
		b := newBench(t)
		b.confirmer.missing = []string{"vm-5"}
		file := b.file("w", `{"weight":2}`)
		b.want(1, "version 1 is committed, not yet in force on vm-5", "workspace", "set", "crews", "-f", file, "-wait", "1ms")

		Convey("a wait for the change fails with its name", func() {
			b.want(1, "vm-5", "change", "wait", "1", "-wait", "1ms")
		})

		Convey("a wait succeeds once it has confirmed", func() {
			b.confirmer.missing = nil
			b.want(0, "version 1", "change", "wait", "1")
		})
	})
}

// The answer to a change is lost on the way to the operator. The command asks
// again with the same id and learns that its change is in force; with another id
// it would report a conflict with its own change.
func TestLostAnswerIsAskedForAgain(t *testing.T) {
	Convey("Given a workspace", t, func() {
		b := newBench(t)
		file := b.file("w", `{"weight":2}`)

		Convey("a change whose answer is lost is made once and reported as in force", func() {
			b.loseAnswers.Store(1)
			b.want(0, "version 1 is in force", "workspace", "set", "crews", "-f", file)
			So(b.loseAnswers.Load(), ShouldBeLessThan, 1)
			So(strings.Count(b.want(0, "crews", "change", "list"), "\n"), ShouldEqual, 2)
		})

		Convey("a change that the store refuses for an outage is reported as not written", func() {
			b.platform.Faults.Set(platformsim.Order{Outage: platformsim.OutageRefuse})
			b.want(1, "Nothing was written", "workspace", "set", "crews", "-f", file)
		})
	})
}

// The address leads to something that redirects, by a mistake or by intent. The
// operator's token is not carried to where it points, and the command fails.
func TestTokenIsNotCarriedByARedirect(t *testing.T) {
	Convey("Given an address that redirects elsewhere", t, func() {
		b := newBench(t)
		asked := 0
		elsewhere := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { asked++ }))
		defer elsewhere.Close()
		redirecting := httptest.NewServer(http.RedirectHandler(elsewhere.URL, http.StatusTemporaryRedirect))
		defer redirecting.Close()

		Convey("the command fails and asks nobody else", func() {
			b.url = redirecting.URL
			b.want(1, "307", "profile", "list")
			So(asked, ShouldEqual, 0)
		})
	})
}

// The admin listener has TLS with a certificate of the operators' own authority. The
// commands, dump among them, reach it with that authority's file and not without.
func TestCommandsOverTLS(t *testing.T) {
	Convey("Given a listener with TLS", t, func() {
		b := newBench(t)
		secure := httptest.NewTLSServer(b.handler)
		defer secure.Close()
		b.url = secure.URL
		authority := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: secure.Certificate().Raw})
		file := b.file("ca", string(authority))

		Convey("its authority's file lets the commands in", func() {
			b.want(0, "hall-a", "vm", "list", "-ca-file", file)
			b.want(0, `"state": "whole"`, "dump", "-ca-file", file)
		})

		Convey("without it, or with a file that has none, they fail", func() {
			b.want(1, "certificate", "vm", "list")
			b.want(1, "certificate", "dump")
			b.want(2, "holds no certificate", "dump", "-ca-file", b.file("empty", "nothing"))
		})
	})
}

// Bad usage has its own exit code and says what is allowed.
func TestBadUsage(t *testing.T) {
	b := newBench(t)
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
