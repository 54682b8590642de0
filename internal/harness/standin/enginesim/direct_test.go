package enginesim

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/engine/httpengine"
)

// simulation is a set of engines in virtual time, with a client for them.
type simulation struct {
	*testing.T
	fabric  *Fabric
	client  *DirectClient
	engines []*Engine
}

// inVirtualTime runs a test in virtual time with one engine for each layer range.
func inVirtualTime(t *testing.T, o Options, link LinkFunc, ranges []config.LayerRange, test func(b *simulation)) {
	synctest.Test(t, func(t *testing.T) {
		b := &simulation{T: t, fabric: NewFabric(link)}
		b.client = NewDirectClient(b.fabric)
		for i, layers := range ranges {
			own := o
			own.Name, own.Model, own.Version, own.Layers, own.Fabric = fmt.Sprintf("e%d", i), testModel, "1", layers, b.fabric
			e := New(own)
			e.Attach(fmt.Sprintf("192.0.2.%d:1", i+1))
			t.Cleanup(e.Close)
			b.engines = append(b.engines, e)
		}
		test(b)
	})
}

var (
	halves   = []config.LayerRange{{From: 0, To: 4}, {From: 4, To: 8}}
	whole    = []config.LayerRange{{From: 0, To: 8}}
	twoWhole = []config.LayerRange{{From: 0, To: 8}, {From: 0, To: 8}}
)

func (b *simulation) open(id string, epoch uint32, tokens int, engines ...*Engine) engine.StageOpen {
	return engine.StageOpen{RequestID: id, Epoch: epoch, Model: "m", Version: "1", Hops: hopsOf(engines), Prompt: []string{"a"}, MaxTokens: tokens}
}

// last opens all stages of a generation and returns the stream of the last one.
func (b *simulation) last(open engine.StageOpen) engine.Stream {
	b.Helper()
	streams := openAll(b.T, b.client, open)
	return streams[len(streams)-1]
}

// receive reads tokens until it has atMost or the stream ends or fails.
func receive(stream engine.Stream, atMost int) (tokens []engine.Event, finish string, err error) {
	for range 100 * (atMost + 1) {
		event, err := stream.Recv()
		if err != nil {
			return tokens, "", err
		}
		switch event.Kind {
		case engine.EventToken:
			tokens = append(tokens, event)
		case engine.EventDone:
			return tokens, event.Finish, nil
		case engine.EventError:
			return tokens, "", errors.New(event.Message)
		}
		if len(tokens) == atMost {
			return tokens, "", nil
		}
	}
	return tokens, "", errors.New("no end")
}

func refusalOf(t *testing.T, err error) (status int, code string) {
	t.Helper()
	var open *engine.OpenError
	var refused *httpengine.RefusedError
	if !errors.As(err, &open) || !errors.As(err, &refused) {
		t.Fatalf("%v is no refusal", err)
	}
	return open.Status, refused.Code
}

func TestTheRateIsSharedByAllRequests(t *testing.T) {
	// 400 layer-tokens per second over 4 layers are 100 tokens per second.
	inVirtualTime(t, Options{LayerTokensPerSecond: 400}, nil, halves, func(b *simulation) {
		start := time.Now()
		done := make(chan error)
		for i := range 10 {
			stream := b.last(b.open(fmt.Sprint(i), 1, 20, b.engines...))
			go func() {
				_, _, err := receive(stream, 1000)
				done <- err
			}()
		}
		for range 10 {
			if err := <-done; err != nil {
				b.Fatal(err)
			}
		}
		if took := time.Since(start).Seconds(); took < 1.95 || took > 2.1 {
			b.Fatalf("200 tokens at 100 a second took %.3f virtual seconds", took)
		}
	})
}

func TestUrgentRequestsGoFirst(t *testing.T) {
	inVirtualTime(t, Options{LayerTokensPerSecond: 800}, nil, whole, func(b *simulation) {
		for i := range 8 {
			b.last(b.open(fmt.Sprint("bulk", i), 1, 1000, b.engines...))
		}
		time.Sleep(time.Second)
		urgent := b.open("urgent", 1, 10, b.engines...)
		urgent.Priority = 2
		start := time.Now()
		if _, finish, err := receive(b.last(urgent), 100); err != nil || finish != "length" {
			b.Fatalf("%s, %v", finish, err)
		}
		// 10 tokens of 10 ms each; each may wait for the one that is being processed.
		if took := time.Since(start); took > 210*time.Millisecond {
			b.Fatalf("took %s beside bulk work", took)
		}
	})
}

func TestLinksTakeTheirTime(t *testing.T) {
	link := func(string, string) (time.Duration, float64) { return 5 * time.Millisecond, 102400 }
	inVirtualTime(t, Options{LayerTokensPerSecond: 4e6}, link, halves, func(b *simulation) {
		stream := b.last(b.open("r", 1, 100, b.engines...))
		start := time.Now()
		if _, _, err := receive(stream, 10); err != nil {
			b.Fatal(err)
		}
		// A token takes 10 ms for its 1,024 bytes and 5 ms of latency to the second stage;
		// the request for the next position takes 5 ms and the time for 64 bytes.
		per := time.Since(start).Seconds() / 9.5
		if per < 0.019 || per > 0.022 {
			b.Fatalf("%.4f virtual seconds a token", per)
		}
	})
}

// A stream resumes at its next token: the router cancels the stage and opens the next
// epoch. On the same engine the KV cache was kept, on another one it is imported;
// without either, the whole context is replayed.
func TestKVCacheIsKeptAndImported(t *testing.T) {
	inVirtualTime(t, Options{LayerTokensPerSecond: 8000, KeepKVFor: time.Second}, nil, twoWhole, func(b *simulation) {
		first := b.open("r", 1, 100, b.engines[0])
		first.KeepKV = true
		stream := b.last(first)
		tokens, _, err := receive(stream, 10)
		if err != nil {
			b.Fatal(err)
		}
		stream.Close()
		for epoch, c := range []struct {
			on     int
			from   string
			after  time.Duration
			reuses bool
		}{
			{on: 1},
			{on: 1, from: b.engines[0].Addr(), reuses: true},
			{on: 0, reuses: true},
			{on: 0, after: 2 * time.Second},
		} {
			time.Sleep(c.after)
			next := b.open("r", uint32(epoch+2), 100, b.engines[c.on])
			next.ImportKVFrom = c.from
			next.KeepKV = true
			for _, token := range tokens {
				next.Committed = append(next.Committed, token.Text)
			}
			stream := b.last(next)
			ready, err := stream.Recv()
			if err != nil || (ready.ReusedKV >= 10) != c.reuses {
				b.Fatalf("epoch %d: %+v, %v", next.Epoch, ready, err)
			}
			more, _, err := receive(stream, 1)
			if err != nil || more[0].Position != 10 || more[0].Trace[0].Epoch != next.Epoch {
				b.Fatalf("epoch %d: %+v, %v", next.Epoch, more, err)
			}
			stream.Close()
		}
	})
}

// A stage that an older epoch opens late must not run next to the newer one, or a
// position would be generated twice.
func TestOldEpochsAreRefused(t *testing.T) {
	inVirtualTime(t, Options{Slots: 1}, nil, whole, func(b *simulation) {
		e := b.engines[0]
		old := b.last(b.open("r", 1, 1000, e))
		b.last(b.open("r", 2, 1000, e)) // takes over the slot
		if _, _, err := receive(old, 1000); err == nil || e.Active() != 1 {
			b.Fatalf("the old epoch still runs: %v, %d active", err, e.Active())
		}
		if err := b.client.Cancel(b.Context(), e.Addr(), "r", 1); err != nil || e.Active() != 1 {
			b.Fatalf("a cancel of epoch 1 ended epoch 2: %v", err)
		}
		if err := b.client.Cancel(b.Context(), e.Addr(), "r", 3); err != nil || e.Active() != 0 {
			b.Fatalf("a cancel of epoch 3 did not end epoch 2: %v", err)
		}
		for epoch := uint32(1); epoch <= 3; epoch++ {
			_, err := b.client.Open(b.Context(), e.Addr(), b.open("r", epoch, 1000, e))
			if status, code := refusalOf(b.T, err); status != http.StatusConflict || code != httpengine.CodeOldEpoch {
				b.Fatalf("epoch %d: %d %s", epoch, status, code)
			}
		}
		b.last(b.open("r", 4, 1000, e))
	})
}

func TestRefusals(t *testing.T) {
	inVirtualTime(t, Options{Slots: 1}, nil, []config.LayerRange{{From: 0, To: 4}}, func(b *simulation) {
		e := b.engines[0]
		b.last(b.open("held", 1, 1000, e))
		wrongLayers := b.open("r", 1, 5, e)
		wrongLayers.Hops[0].Layers.To = 5
		wrongAdapter := b.open("r", 1, 5, e)
		wrongAdapter.Adapter = "x"
		for _, c := range []struct {
			open    engine.StageOpen
			leaving bool
			status  int
			code    string
		}{
			{b.open("r", 1, 5, e), false, http.StatusConflict, httpengine.CodeBusy},
			{wrongLayers, false, http.StatusNotFound, httpengine.CodeNotHeld},
			{wrongAdapter, false, http.StatusNotFound, httpengine.CodeNotHeld},
			{b.open("r", 1, 5, e), true, http.StatusGone, httpengine.CodeLeaving},
			{b.open("r", 1, 0, e), false, http.StatusBadRequest, "bad-request"},
		} {
			e.SetFaults(func(f *Faults) { f.Leaving = c.leaving })
			_, err := b.client.Open(b.Context(), e.Addr(), c.open)
			if status, code := refusalOf(b.T, err); status != c.status || code != c.code {
				b.Errorf("%d %s, expected %d %s", status, code, c.status, c.code)
			}
		}
	})
}
