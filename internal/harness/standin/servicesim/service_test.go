package servicesim

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/service"
	"geraniumcroft/internal/service/httpservice"
	"geraniumcroft/internal/transport"
)

// longSilence is a silence timeout that is reached only if a test hangs. shortSilence
// is for tests that expect silence.
const (
	longSilence  = 30 * time.Second
	shortSilence = 500 * time.Millisecond
)

func start(t *testing.T, o Options, silence time.Duration) (*Service, *httpservice.Client) {
	t.Helper()
	s := New(o)
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	pool := transport.NewPool(transport.Settings{}, nil)
	t.Cleanup(pool.Close)
	client := httpservice.New(pool, httpservice.Settings{SilenceTimeout: silence, MaxIdleTime: time.Minute})
	t.Cleanup(client.Close)
	return s, client
}

func call(t *testing.T, client *httpservice.Client, s *Service, id string, fresh bool) (service.Response, error) {
	t.Helper()
	conn, err := client.Connect(context.Background(), s.Addr(), fresh)
	if err != nil {
		return service.Response{}, err
	}
	return conn.Do(context.Background(), service.Call{RequestID: id, IdempotencyKey: "k" + id, Path: "/hold", Body: []byte("body " + id)})
}

// The outcome that a caller may get depends on whether the call was executed. So each
// fault must execute the call or not, as documented, and never twice.
func TestFaultsExecuteCallsAsDocumented(t *testing.T) {
	cases := []struct {
		name     string
		faults   Faults
		executed int
		// fails says that no complete response arrives.
		fails, silent bool
		status        int
		notRun        bool
		id            string
	}{
		{name: "none", executed: 1, status: http.StatusOK, id: "r"},
		{name: "die before", faults: Faults{DieBefore: true}, fails: true},
		{name: "die after", faults: Faults{DieAfter: true}, executed: 1, fails: true},
		{name: "lose the response", faults: Faults{LoseResponses: 1}, executed: 1, fails: true},
		{name: "cut the response", faults: Faults{TruncateResponses: 1}, executed: 1, fails: true},
		{name: "go silent", faults: Faults{SilenceOnCall: 1}, executed: 1, fails: true, silent: true},
		{name: "not run", faults: Faults{DeclareNotRun: 1}, status: http.StatusServiceUnavailable, notRun: true, id: "r"},
		{name: "leaving", faults: Faults{Leaving: true}, status: http.StatusServiceUnavailable, notRun: true, id: "r"},
		{name: "fail", faults: Faults{Fail: 1}, executed: 1, status: http.StatusInternalServerError, id: "r"},
		{name: "wrong id", faults: Faults{WrongIDs: 1}, executed: 1, status: http.StatusOK, id: "another-request"},
		{name: "slow", faults: Faults{Slowdown: 50}, executed: 1, fails: true, silent: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			silence := longSilence
			if c.silent {
				silence = shortSilence
			}
			s, client := start(t, Options{ServiceTime: 20 * time.Millisecond}, silence)
			s.SetFaults(func(f *Faults) { *f = c.faults })
			response, err := call(t, client, s, "r", true)
			if (err != nil) != c.fails || response.Status != c.status || response.NotRun != c.notRun || response.RequestID != c.id {
				t.Fatalf("%+v, %v", response, err)
			}
			var failure *service.CallError
			if c.fails && (!errors.As(err, &failure) || !failure.Sent || failure.Silent != c.silent) {
				t.Fatalf("%v", err)
			}
			if err := s.AwaitIdle(t.Context()); err != nil {
				t.Fatal(err)
			}
			got := s.Executions()
			if len(got) != c.executed || s.ExecutedTotal() != uint64(c.executed) || s.Received() != 1 {
				t.Fatalf("%d executions, %d received", len(got), s.Received())
			}
			if c.executed == 1 && got[0] != (Execution{RequestID: "r", IdempotencyKey: "kr", Path: "/hold", Body: "body r"}) {
				t.Fatalf("%+v", got[0])
			}
		})
	}
}

// After GoSilent the connections that were open stay silent and new ones work. The
// client detects the silence once, on a kept-alive connection, and does not try its
// other open connections.
func TestSilenceHitsOpenConnectionsOnly(t *testing.T) {
	s, client := start(t, Options{}, shortSilence)
	if _, err := call(t, client, s, "1", false); err != nil {
		t.Fatal(err)
	}
	s.GoSilent()
	var failure *service.CallError
	if _, err := call(t, client, s, "2", false); !errors.As(err, &failure) || !failure.Silent {
		t.Fatalf("%v, expected silence", err)
	}
	if _, err := call(t, client, s, "3", false); err != nil {
		t.Fatal(err)
	}
	for _, x := range s.Executions() {
		if x.RequestID == "2" {
			t.Fatal("a call on a silent connection arrived")
		}
	}
}

func TestReviveKeepsTheAddress(t *testing.T) {
	s, client := start(t, Options{}, longSilence)
	address := s.Addr()
	s.Die()
	var failure *service.CallError
	if _, err := call(t, client, s, "1", true); !errors.As(err, &failure) || failure.Sent {
		t.Fatalf("%v, expected a refused connection", err)
	}
	if err := s.Revive(); err != nil {
		t.Fatal(err)
	}
	if _, err := call(t, client, s, "2", true); err != nil || s.Addr() != address {
		t.Fatalf("%s, %v", s.Addr(), err)
	}
}

func TestLoadLagAndFaultsOverHTTP(t *testing.T) {
	s, client := start(t, Options{Slots: 3}, longSilence)
	resp, err := http.Post("http://"+s.Addr()+"/faults", "application/json", strings.NewReader(`{"set":{"leaving":true}}`))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	load, err := client.Load(context.Background(), s.Addr())
	if err != nil || !load.Leaving || load.Slots != 3 {
		t.Fatalf("%+v, %v", load, err)
	}
	s.SetFaults(func(f *Faults) { f.LoadLag = config.Duration(time.Hour) })
	if load, err := client.Load(context.Background(), s.Addr()); err != nil || load.Leaving {
		t.Fatalf("%+v, %v: a report without its lag", load, err)
	}
}
