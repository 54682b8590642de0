package enginesim

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/engine/httpengine"
	"geraniumcroft/internal/transport"
)

const testBound = 30 * time.Second // reached only if a test hangs

func idleClient(t testing.TB, idle time.Duration) *httpengine.Client {
	pool := transport.NewPool(transport.Settings{}, nil)
	t.Cleanup(pool.Close)
	return httpengine.New(pool, httpengine.Settings{SilenceTimeout: idle})
}

// postFaults sends a fault request to the engine.
func postFaults(t *testing.T, e *Engine, body string) {
	t.Helper()
	resp, err := http.Post("http://"+e.Addr()+"/faults", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		t.Fatalf("status %d", resp.StatusCode)
	}
}

func endless(engines []*Engine, id string) engine.StageOpen {
	return engine.StageOpen{RequestID: id, Epoch: 1, Model: "m", Version: "1", Hops: hopsOf(engines), Prompt: []string{"a"}, MaxTokens: 1 << 30}
}

// The caller disconnects: the router's context ends, the connection closes, and the
// engine frees the slot without a cancel request.
func TestClosedConnectionFreesTheSlot(t *testing.T) {
	engines := startEngines(t, Options{Slots: 1}, config.LayerRange{To: 8})
	bound, end := context.WithTimeout(context.Background(), testBound)
	defer end()
	ctx, cancel := context.WithCancel(bound)
	stream, err := newClient(t).Open(ctx, engines[0].Addr(), endless(engines, "r"))
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := receive(stream, 3); err != nil {
		t.Fatal(err)
	}
	cancel()
	if err := engines[0].AwaitActive(bound, 0); err != nil {
		t.Fatal(err)
	}
}

// When an engine's process dies, streams break at once, since its connections are
// reset, and new connections are refused. After a restart it has lost the request and
// accepts new ones.
func TestDeathResetsAndRefusesUntilRevival(t *testing.T) {
	engines := startEngines(t, Options{}, config.LayerRange{To: 8})
	client := newClient(t)
	stream := openAll(t, client, endless(engines, "r"))[0]
	if _, _, err := receive(stream, 3); err != nil {
		t.Fatal(err)
	}
	postFaults(t, engines[0], `{"die":true}`)
	var broken *engine.StreamError
	if _, _, err := receive(stream, 1<<20); !errors.As(err, &broken) || broken.Silent {
		t.Fatalf("%v, expected a break", err)
	}
	_, err := client.Open(context.Background(), engines[0].Addr(), endless(engines, "s"))
	var refused *engine.OpenError
	if !errors.As(err, &refused) || refused.Sent {
		t.Fatalf("%v, expected a refused connection", err)
	}
	if err := engines[0].Revive(); err != nil {
		t.Fatal(err)
	}
	if _, _, err := receive(openAll(t, client, endless(engines, "t"))[0], 3); err != nil {
		t.Fatal(err)
	}
}

// A stream stops without a reset, since a device on the network path has lost the
// connection. The engine continues and does not notice that the router closes the
// stream. A new stream and a cancel on a new connection work.
func TestSilenceHitsOpenConnectionsOnly(t *testing.T) {
	engines := startEngines(t, Options{Slots: 2}, config.LayerRange{To: 8})
	client := idleClient(t, 300*time.Millisecond)
	stream := openAll(t, client, endless(engines, "r"))[0]
	if _, _, err := receive(stream, 3); err != nil {
		t.Fatal(err)
	}
	postFaults(t, engines[0], `{"silence":true}`)
	var broken *engine.StreamError
	if _, _, err := receive(stream, 1<<20); !errors.As(err, &broken) || !broken.Silent {
		t.Fatalf("%v, expected silence", err)
	}
	second := openAll(t, client, endless(engines, "s"))[0]
	if _, _, err := receive(second, 3); err != nil {
		t.Fatal(err)
	}
	if engines[0].Active() != 2 {
		t.Fatal("the engine noticed the close")
	}
	if err := client.Cancel(context.Background(), engines[0].Addr(), "r", 1); err != nil {
		t.Fatal(err)
	}
	if engines[0].Active() != 1 {
		t.Fatal("the cancel did not free the slot")
	}
}

// A muted engine accepts stages and answers control calls, but sends no events on its
// streams, like a process that hangs.
func TestMutedEngineSendsNoHeartbeats(t *testing.T) {
	engines := startEngines(t, Options{}, config.LayerRange{To: 8})
	client := idleClient(t, 300*time.Millisecond)
	stream := openAll(t, client, endless(engines, "r"))[0]
	postFaults(t, engines[0], `{"set":{"mute":true}}`)
	var broken *engine.StreamError
	if _, _, err := receive(stream, 1<<20); !errors.As(err, &broken) || !broken.Silent {
		t.Fatalf("%v, expected silence", err)
	}
	if _, err := client.State(context.Background(), engines[0].Addr()); err != nil {
		t.Fatal(err)
	}
}

// The stream of a stage that sends no tokens is kept alive by heartbeats.
func TestHeartbeatsKeepAnIdleStreamAlive(t *testing.T) {
	engines := startEngines(t, Options{Heartbeat: 20 * time.Millisecond}, config.LayerRange{To: 4}, config.LayerRange{From: 4, To: 8})
	streams := openAll(t, idleClient(t, 2*time.Second), endless(engines, "r"))
	for i := range 5 {
		event, err := streams[0].Recv()
		if err != nil || i > 0 && event.Kind != engine.EventHeartbeat {
			t.Fatalf("%+v, %v", event, err)
		}
	}
}

func TestControlCallsOverHTTP(t *testing.T) {
	engines := startEngines(t, Options{}, config.LayerRange{To: 8})
	client, address := newClient(t), engines[0].Addr()
	ctx := context.Background()
	if err := client.Order(ctx, address, engine.Order{ID: "1", Fencing: 5, Model: "m", Version: "2", Layers: config.LayerRange{To: 6}}); err != nil {
		t.Fatal(err)
	}
	state, err := client.State(ctx, address)
	if err != nil || state.Version != "2" || state.Layers.To != 6 || state.Fencing != 5 {
		t.Fatalf("%+v, %v", state, err)
	}
	var refused *engine.OrderError
	err = client.Order(ctx, address, engine.Order{ID: "2", Fencing: 4})
	if !errors.As(err, &refused) || !refused.OldFencing || refused.Ambiguous {
		t.Fatalf("%v", err)
	}
	postFaults(t, engines[0], `{"set":{"leaving":true}}`)
	load, err := client.Load(ctx, address)
	if err != nil || !load.Leaving || load.Slots != DefaultSlots {
		t.Fatalf("%+v, %v", load, err)
	}
	if _, err := client.CacheEvents(ctx, address, 0); err != nil {
		t.Fatal(err)
	}
}

// Tests rely on the engines' records to verify that each stage processed each position
// once, so the records must match the work done exactly.
func TestExecutionsAreRecorded(t *testing.T) {
	engines := startEngines(t, Options{LayerTokensPerSecond: 1e6}, config.LayerRange{To: 3}, config.LayerRange{From: 3, To: 8})
	open := endless(engines, "r")
	open.MaxTokens = 20
	if _, _, err := receive(openAll(t, newClient(t), open)[1], 1000); err != nil {
		t.Fatal(err)
	}
	for i, e := range engines {
		expected := Executed{RequestID: "r", Target: e.Name(), Epoch: 1, Layers: open.Hops[i].Layers, Last: 19, Count: 20}
		if got := e.Executed(); len(got) != 1 || got[0] != expected {
			t.Fatalf("%+v, expected %+v", got, expected)
		}
	}
}
