package httpplatform_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"geraniumcroft/internal/harness/standin/platformsim"
	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/platform/httpplatform"
)

func newClient(t *testing.T) (*platformsim.Server, *httpplatform.Client) {
	t.Helper()
	server, err := platformsim.Start("")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	client := httpplatform.New(httpplatform.Settings{BaseURL: server.URL(), AttemptTimeout: 300 * time.Millisecond})
	t.Cleanup(client.Close)
	return server, client
}

func create(id, key, value string) platform.Txn {
	return platform.Txn{
		ID:         id,
		Conditions: []platform.Condition{{Key: key}},
		Writes:     []platform.Write{{Key: key, Value: []byte(value)}},
	}
}

func TestTableObjectsAndVMs(t *testing.T) {
	server, client := newClient(t)
	ctx := context.Background()
	if err := client.Commit(ctx, create("t1", "a", "one")); err != nil {
		t.Fatal(err)
	}
	err := client.Commit(ctx, create("t2", "a", "two"))
	var refused *platform.RefusedError
	if !errors.As(err, &refused) || len(refused.Rows) != 1 || refused.Rows[0].TxnID != "t1" {
		t.Fatalf("second creation: %v, want it refused with the row of t1", err)
	}
	rows, err := client.Get(ctx, "a", "b")
	if err != nil || len(rows) != 2 || string(rows[0].Value) != "one" || rows[1].Revision != 0 {
		t.Fatalf("get: %+v, %v", rows, err)
	}
	rows, err = client.Scan(ctx, "a", "b", 10)
	if err != nil || len(rows) != 1 {
		t.Fatalf("scan: %+v, %v", rows, err)
	}
	if err := client.Put(ctx, "snapshots/7", []byte("body")); err != nil {
		t.Fatal(err)
	}
	body, err := client.Fetch(ctx, "snapshots/7")
	if err != nil || string(body) != "body" {
		t.Fatalf("fetch: %q, %v", body, err)
	}
	if _, err := client.Fetch(ctx, "none"); !errors.Is(err, platform.ErrNotFound) {
		t.Fatalf("fetch of no object: %v", err)
	}
	server.SetVMs(platform.VM{Name: "vm-1"})
	vms, err := client.VMs(ctx)
	if err != nil || len(vms) != 1 {
		t.Fatalf("VMs: %+v, %v", vms, err)
	}
}

// A failed commit is unavailable when the service certainly did not apply it, and ambiguous
// when it may have. It is certain when the connection is refused or the service responds
// with CodeNotApplied. A 502 without the code may come from a proxy, behind which the commit
// continues.
func TestCommitFailuresAreClassified(t *testing.T) {
	cases := []struct {
		name   string
		status int
		body   string
		want   error
	}{
		{"not applied", http.StatusServiceUnavailable, `{"code":"not-applied"}`, platform.ErrUnavailable},
		{"bare 503", http.StatusServiceUnavailable, "", platform.ErrAmbiguous},
		{"bare 502", http.StatusBadGateway, "<html>", platform.ErrAmbiguous},
		{"409 cut short", http.StatusConflict, `{"rows":[`, platform.ErrAmbiguous},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer server.Close()
			client := httpplatform.New(httpplatform.Settings{BaseURL: server.URL})
			defer client.Close()
			if err := client.Commit(context.Background(), create("t", "a", "v")); !errors.Is(err, c.want) {
				t.Fatalf("got %v, want %v", err, c.want)
			}
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		server, client := newClient(t)
		if err := server.Order(platformsim.Order{Outage: platformsim.OutageRefuse}); err != nil {
			t.Fatal(err)
		}
		if err := client.Commit(context.Background(), create("t", "a", "v")); !errors.Is(err, platform.ErrUnavailable) {
			t.Fatalf("got %v, want unavailable", err)
		}
		if err := server.Order(platformsim.Order{}); err != nil {
			t.Fatal(err)
		}
		if err := client.Commit(context.Background(), create("t", "a", "v")); err != nil {
			t.Fatalf("after the outage: %v", err)
		}
	})
}

// The response is lost after the write took effect, as the reused connection is closed. The
// error is ambiguous, and the commit reached the service once: the transport must not
// resend it by itself.
func TestLostAnswerIsAmbiguousAndSentOnce(t *testing.T) {
	server, client := newClient(t)
	ctx := context.Background()
	if _, err := client.Get(ctx, "a"); err != nil {
		t.Fatal(err)
	}
	if err := server.Order(platformsim.Order{LoseAnswers: 1}); err != nil {
		t.Fatal(err)
	}
	if err := client.Commit(ctx, create("t", "a", "v")); !errors.Is(err, platform.ErrAmbiguous) {
		t.Fatalf("got %v, want ambiguous", err)
	}
	if commits, _ := server.Counts(); commits != 1 {
		t.Fatalf("the service saw %d commits, want 1", commits)
	}
	rows, err := client.Get(ctx, "a")
	if err != nil || rows[0].TxnID != "t" {
		t.Fatalf("the write took effect, but the row is %+v, %v", rows, err)
	}
}

// Open connections go silent while new ones work. A read still succeeds: its attempt on the
// silent connection times out, the idle connections are closed, and the read is repeated on
// a new one. A commit is ambiguous, as this package never repeats it.
func TestSilentConnection(t *testing.T) {
	server, client := newClient(t)
	ctx := context.Background()
	silence := func() {
		t.Helper()
		if _, err := client.Get(ctx, "a"); err != nil {
			t.Fatal(err)
		}
		if err := server.Order(platformsim.Order{SilenceOpen: true}); err != nil {
			t.Fatal(err)
		}
	}
	silence()
	if _, err := client.Get(ctx, "a"); err != nil {
		t.Fatalf("read over a silent connection: %v", err)
	}
	if client.Silences() != 1 {
		t.Fatalf("%d silent connections detected, want 1", client.Silences())
	}
	silence()
	if err := client.Commit(ctx, create("t", "a", "v")); !errors.Is(err, platform.ErrAmbiguous) {
		t.Fatalf("commit over a silent connection: %v, want ambiguous", err)
	}
	if err := client.Commit(ctx, create("t", "a", "v")); err != nil {
		t.Fatalf("commit after the silent connection was detected: %v", err)
	}
}
