package relay

import (
	"context"
	"fmt"
	"sync"
	"time"

	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/layers"
)

const (
	engineQueue = 96
	enginePass  = 5 // steps and tokens of an event
	engineChunk = 512
)

// fakeEngine is a replica by the formulas of docs/overload.md.
type fakeEngine struct {
	layers.Replica
	card             layers.Accelerator
	capacity, used   float64 // tokens times layers
	streams, entries int
	slots            chan struct{}
	prefillEnd       time.Time
}

// step returns the time of a decoding step through n layers, with a chunk of a prompt if one waits.
func (e *fakeEngine) step(spec *layers.Spec, n int, at time.Time) time.Duration {
	contexts := e.used / float64(e.Held.Len()) / 1000
	step := (float64(spec.StepBase) + float64(e.streams)*float64(spec.StepPerSequence) + contexts*float64(spec.StepPerContext)) * e.card.StepTimeFactor
	if at.Before(e.prefillEnd) {
		step += engineChunk / spec.PrefillTokensPerSecond * e.card.PrefillTimeFactor * float64(time.Second)
	}
	return time.Duration(step * float64(n) / float64(spec.Layers))
}

// prefill queues a prompt and returns when it has been read.
func (e *fakeEngine) prefill(spec *layers.Spec, tokens, n int) time.Time {
	now := time.Now()
	if now.After(e.prefillEnd) {
		e.prefillEnd = now
	}
	e.prefillEnd = e.prefillEnd.Add(1) // so that the step below has a chunk
	e.prefillEnd = e.prefillEnd.Add(time.Duration(float64(tokens) / engineChunk * float64(e.step(spec, n, now))))
	return e.prefillEnd
}

// fakeEngines are the replicas of one data centre of the first operator in docs/overload.md.
type fakeEngines struct {
	spec     *layers.Spec
	replicas []layers.Replica
	mu       sync.Mutex // guards the field below and the engines
	engines  map[incarnation.Key]*fakeEngine
}

func newFakeEngines() *fakeEngines {
	f := &fakeEngines{engines: map[incarnation.Key]*fakeEngine{}, spec: &layers.Spec{
		Layers: 80, LayerMB: 1750, KVBytes: 590000, ActivationBytes: 29500, Slots: 192, LinkMbps: 8800, MeanPrompt: 775, MeanAnswer: 222,
		StepBase: 1020 * time.Microsecond, StepPerSequence: 4590, StepPerContext: 6150, PrefillTokensPerSecond: 164000, PrefillChunk: 512, Stride: enginePass,
		Accelerators: map[string]layers.Accelerator{
			"a100": {MemoryMB: 72000, StepTimeFactor: 2.4, PrefillTimeFactor: 3.2},
			"l40s": {MemoryMB: 43200, StepTimeFactor: 5.6, PrefillTimeFactor: 2.7},
			"l4":   {MemoryMB: 21600, StepTimeFactor: 16, PrefillTimeFactor: 8.2},
		},
	}}
	for i, kind := range []string{"a100", "l40s", "l4"} {
		for n := range []int{4, 6, 14}[i] {
			id := fmt.Sprint(kind, "-", n)
			f.replicas = append(f.replicas, layers.Replica{ID: id, Born: 1, Address: id, DataCentre: "a", Kind: kind})
		}
	}
	placed := layers.Place(f.spec, f.replicas)
	for i := range f.replicas {
		r := &f.replicas[i]
		r.Held = placed[r.ID]
		e := &fakeEngine{Replica: *r, card: f.spec.Accelerators[r.Kind], slots: make(chan struct{}, f.spec.Slots)}
		e.capacity = (e.card.MemoryMB - float64(r.Held.Len())*f.spec.LayerMB) * 1e6 / f.spec.KVBytes * float64(f.spec.Layers)
		f.engines[r.Key()] = e
	}
	return f
}

// loads returns what the replicas report now.
func (f *fakeEngines) loads() map[incarnation.Key]layers.Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	loads := map[incarnation.Key]layers.Load{}
	for k, e := range f.engines {
		loads[k] = layers.Load{Used: e.used, Total: e.capacity, Streams: e.streams, Queued: max(0, e.entries-f.spec.Slots), Held: e.Held, Born: e.Born, At: time.Now()}
	}
	return loads
}

// enter takes memory for a number of tokens on a path. It returns the replica that has no room, if any.
func (f *fakeEngines) enter(path layers.Path, tokens int) *fakeEngine {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, s := range path {
		e := f.engines[s.Replica.Key()]
		if e.used+float64(tokens*s.Layers.Len()) > e.capacity || i == 0 && e.entries >= f.spec.Slots+engineQueue {
			return e
		}
	}
	f.grow(path, tokens, 1)
	return nil
}

// grow changes the tokens and the number of streams on a path. f.mu is held.
func (f *fakeEngines) grow(path layers.Path, tokens, streams int) {
	f.engines[path.First().Key()].entries += streams
	for _, s := range path {
		e := f.engines[s.Replica.Key()]
		e.used += float64(tokens * s.Layers.Len())
		e.streams += streams
	}
}

// read waits until all replicas of a path have read a prompt.
func (f *fakeEngines) read(path layers.Path, prompt int) {
	for _, s := range path {
		f.mu.Lock()
		read := f.engines[s.Replica.Key()].prefill(f.spec, prompt, s.Layers.Len())
		f.mu.Unlock()
		time.Sleep(time.Until(read))
	}
}

// pass waits until the next event of a stream.
func (f *fakeEngines) pass(path layers.Path) {
	var took time.Duration
	f.mu.Lock()
	f.grow(path, enginePass, 0)
	for _, s := range path {
		took += enginePass * f.engines[s.Replica.Key()].step(f.spec, s.Layers.Len(), time.Now())
	}
	f.mu.Unlock()
	time.Sleep(took)
}

// run runs a stream and calls begun at its first event. It returns the replica that has no room, if any.
func (f *fakeEngines) run(ctx context.Context, path layers.Path, prompt, events int, begun func()) *fakeEngine {
	if full := f.enter(path, prompt); full != nil {
		return full
	}
	tokens, slots := prompt, f.engines[path.First().Key()].slots
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.grow(path, -tokens, -1)
	}()
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return nil
	}
	defer func() { <-slots }()
	f.read(path, prompt)
	for n := 0; n < events && (n > 0 || ctx.Err() == nil); n++ {
		tokens += enginePass
		if f.pass(path); n == 0 && ctx.Err() == nil {
			begun()
		}
	}
	return nil
}
