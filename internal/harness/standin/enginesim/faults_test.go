package enginesim

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"geraniumcroft/internal/engine"
)

func TestDeathAtAToken(t *testing.T) {
	for dying := range 2 {
		t.Run(fmt.Sprint("stage ", dying), func(t *testing.T) {
			inVirtualTime(t, Options{}, nil, halves, func(b *simulation) {
				b.engines[dying].SetFaults(func(f *Faults) { f.DieAtToken = 7 })
				streams := openAll(b.T, b.client, b.open("r", 1, 100, b.engines...))
				if dying == 0 {
					if _, _, err := receive(streams[0], 100); err == nil {
						b.Fatal("the stream of the dead stage did not fail")
					}
				}
				tokens, _, err := receive(streams[1], 7+dying)
				if len(tokens) != 7 || (err != nil) != (dying == 1) {
					b.Fatalf("%d tokens, %v", len(tokens), err)
				}
				if _, err := b.client.Load(b.Context(), b.engines[dying].Addr()); err == nil {
					b.Fatal("a dead engine answers")
				}
				if err := b.engines[dying].Revive(); err != nil {
					b.Fatal(err)
				}
				if _, finish, err := receive(b.last(b.open("s", 1, 9, b.engines...)), 100); err != nil || finish != "length" {
					b.Fatalf("after the revival: %s, %v", finish, err)
				}
			})
		})
	}
}

// A stage reports the failure of another one: the last stage cannot send the next
// position to the first, and its error event blames the first.
func TestErrorEventBlamesTheUnreachableStage(t *testing.T) {
	inVirtualTime(t, Options{}, nil, halves, func(b *simulation) {
		b.engines[1].SetFaults(func(f *Faults) { f.Slowdown = 100 })
		stream := b.last(b.open("r", 1, 100, b.engines...))
		if _, _, err := receive(stream, 3); err != nil {
			b.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond) // half of the last stage's time for position 3
		b.engines[0].Die()
		for range 1000 {
			event, err := stream.Recv()
			if err != nil {
				b.Fatal(err)
			}
			if event.Kind == engine.EventError {
				if event.FailedStage != 0 {
					b.Fatalf("%+v", event)
				}
				return
			}
		}
		b.Fatal("no stage was blamed")
	})
}

func TestSilenceHitsOpenStreamsOnly(t *testing.T) {
	inVirtualTime(t, Options{}, nil, whole, func(b *simulation) {
		stream := b.last(b.open("r", 1, 1000, b.engines...))
		if _, _, err := receive(stream, 3); err != nil {
			b.Fatal(err)
		}
		b.engines[0].GoSilent()
		var broken *engine.StreamError
		if _, _, err := receive(stream, 1000); !errors.As(err, &broken) || !broken.Silent {
			b.Fatalf("%v, expected silence", err)
		}
		if b.engines[0].Active() != 1 {
			b.Fatal("the engine noticed a close on a silent connection")
		}
		if _, finish, err := receive(b.last(b.open("s", 1, 5, b.engines...)), 1000); err != nil || finish != "length" {
			b.Fatalf("a new stream: %s, %v", finish, err)
		}
	})
}

func TestSlowdownStopPositionAndStaleTokens(t *testing.T) {
	inVirtualTime(t, Options{LayerTokensPerSecond: 800}, nil, whole, func(b *simulation) {
		b.engines[0].SetFaults(func(f *Faults) { f.Slowdown, f.StaleTokens = 10, true })
		open := b.open("r", 5, 100, b.engines...)
		open.Prompt = []string{"stop:4"}
		start := time.Now()
		tokens, finish, err := receive(b.last(open), 1000)
		if err != nil || finish != "stop" || len(tokens) != 10 {
			b.Fatalf("%d tokens, %s, %v", len(tokens), finish, err)
		}
		if took := time.Since(start); took != 500*time.Millisecond {
			b.Fatalf("5 tokens of 100 ms took %s", took)
		}
		for i, token := range tokens {
			stale := i%2 == 0
			if stale != (token.Epoch == 4) || token.Position != i/2 {
				b.Fatalf("token %d: %+v", i, token)
			}
		}
	})
}

// A lease holder that was paused sends an order with an old fencing number. An engine
// that checks the number refuses the order; one that does not carries it out and cuts
// off its request in progress.
func TestFencingCanBeSwitchedOff(t *testing.T) {
	for _, ignores := range []bool{false, true} {
		t.Run(fmt.Sprint("ignores ", ignores), func(t *testing.T) {
			inVirtualTime(t, Options{IgnoresFencing: ignores, LoadTime: time.Second}, nil, whole, func(b *simulation) {
				e := b.engines[0]
				order := engine.Order{ID: "1", Fencing: 9, Model: "m", Version: "1", Layers: whole[0]}
				if err := b.client.Order(b.Context(), e.Addr(), order); err != nil {
					b.Fatal(err)
				}
				b.last(b.open("r", 1, 1000, e))
				order.ID, order.Fencing, order.Version = "2", 8, "2"
				err := b.client.Order(b.Context(), e.Addr(), order)
				var refused *engine.OrderError
				if ignores && err != nil || !ignores && (!errors.As(err, &refused) || !refused.OldFencing) {
					b.Fatalf("%v", err)
				}
				if cut := e.Counts().CutOff == 1; cut != ignores {
					b.Fatalf("%+v", e.Counts())
				}
				state := e.State()
				if state.Loading != ignores || (state.Fencing == 0) != ignores {
					b.Fatalf("%+v", state)
				}
				time.Sleep(time.Second)
				if e.State().Loading {
					b.Fatal("still loading")
				}
			})
		})
	}
}

func TestLoadReportsAndCacheEventsLagAndHaveGaps(t *testing.T) {
	o := Options{LoadLag: time.Second, CacheEventLag: time.Second, CacheBlocks: 2, LayerTokensPerSecond: 8e3}
	inVirtualTime(t, o, nil, whole, func(b *simulation) {
		e := b.engines[0]
		open := b.open("r", 1, 1000000, e)
		open.Prompt = make([]string, 3*engine.PrefixBlockTokens)
		stream := b.last(open)
		if _, _, err := receive(stream, 3); err != nil {
			b.Fatal(err)
		}
		if e.Load().Active != 0 {
			b.Fatalf("a load report without a lag: %+v", e.Load())
		}
		time.Sleep(time.Second)
		if e.Load().Active != 1 {
			b.Fatalf("%+v", e.Load())
		}
		stream.Close()
		if got := e.CacheEvents(0); len(got.Events) != 0 {
			b.Fatalf("cache events without a lag: %+v", got)
		}
		time.Sleep(time.Second)
		hashes := engine.PrefixHashes("m", "1", "", open.Prompt)
		got := e.CacheEvents(0)
		if len(got.Events) != 4 || got.Gap || got.Events[0].Prefix != hashes[0] || !got.Events[3].Evict {
			b.Fatalf("%+v, expected three blocks and an eviction", got)
		}
		e.DropCacheEvents(2)
		open.RequestID, open.Prompt = "s", make([]string, engine.PrefixBlockTokens)
		open.Prompt[0] = "other"
		stream = b.last(open)
		if _, _, err := receive(stream, 1); err != nil {
			b.Fatal(err)
		}
		stream.Close()
		time.Sleep(time.Second)
		if got := e.CacheEvents(0); !got.Gap {
			b.Fatalf("%+v, expected a gap", got)
		}
	})
}
