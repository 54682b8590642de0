package enginesim

import (
	"context"
	"testing"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/engine/httpengine"
	"geraniumcroft/internal/transport"
)

var testModel = &config.Model{Name: "m", Layers: 8, Versions: []string{"1"}, ActivationBytes: 1024}

// startEngines starts one engine for each layer range.
func startEngines(t testing.TB, o Options, ranges ...config.LayerRange) []*Engine {
	t.Helper()
	o.Model = testModel
	o.Version = "1"
	o.Fabric = NewFabric(nil)
	engines := make([]*Engine, len(ranges))
	for i, layers := range ranges {
		o.Layers = layers
		o.Name = "e" + layers.String()
		engines[i] = New(o)
		if err := engines[i].Start("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(engines[i].Close)
	}
	return engines
}

func hopsOf(engines []*Engine) []engine.Hop {
	hops := make([]engine.Hop, len(engines))
	for i, e := range engines {
		hops[i] = engine.Hop{Target: e.Name(), Address: e.Addr(), Layers: e.State().Layers}
	}
	return hops
}

func openAll(t testing.TB, client engine.Client, open engine.StageOpen) []engine.Stream {
	t.Helper()
	streams := make([]engine.Stream, len(open.Hops))
	for i, hop := range open.Hops {
		open.Index = i
		stream, err := client.Open(context.Background(), hop.Address, open)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(stream.Close)
		streams[i] = stream
	}
	return streams
}

func newClient(t testing.TB) *httpengine.Client {
	pool := transport.NewPool(transport.Settings{}, nil)
	t.Cleanup(pool.Close)
	return httpengine.New(pool, httpengine.Settings{})
}

func TestTwoStagesGenerateEachTokenOnceInOrder(t *testing.T) {
	engines := startEngines(t, Options{LayerTokensPerSecond: 1e6}, config.LayerRange{To: 3}, config.LayerRange{From: 3, To: 8})
	open := engine.StageOpen{RequestID: "r", Epoch: 1, Model: "m", Version: "1", Hops: hopsOf(engines), Prompt: []string{"a", "b"}, MaxTokens: 20}
	streams := openAll(t, newClient(t), open)
	position := 0
	for range 1000 {
		event, err := streams[1].Recv()
		if err != nil {
			t.Fatal(err)
		}
		if event.Kind == engine.EventDone {
			break
		}
		if event.Kind != engine.EventToken {
			continue
		}
		if event.Position != position || event.Text != TokenText(position) || len(event.Trace) != 2 {
			t.Fatalf("event %+v at position %d", event, position)
		}
		position++
	}
	if position != 20 {
		t.Fatalf("%d tokens", position)
	}
}
