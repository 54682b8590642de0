package experiment

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/harness/standin/enginesim"
	"geraniumcroft/internal/sleep"
)

const (
	saturationDrafts = 260
	saturationWarmUp = 4 * time.Second
	shortDraft       = 40
	longDraft        = 400
	longShare        = 0.1
	minShareOfBound  = 0.85
	sampleInterval   = 50 * time.Millisecond
)

// saturation keeps more drafts in progress than a mixed graph of engines has slots for, and
// compares the token rate with the upper bound of the graph.
func saturation(ctx context.Context, t *Trial) error {
	s, err := newSystem(ctx, 2, nil)
	if err != nil {
		return err
	}
	defer s.close()
	if err := s.addMixedGraph(ctx); err != nil {
		return err
	}
	if err := s.applyProfiles(ctx, generationProfile("summary", config.Bulk, 10*time.Minute)); err != nil {
		return err
	}
	set, err := s.computePlans()
	if err != nil {
		return err
	}
	got := s.saturate(ctx, t)
	t.figure("bound", "tokens/s", set.Bound)
	t.figure("plans' throughput of the bound", "ratio", set.Throughput()/set.Bound)
	t.limited("tokens/s of the bound", "ratio", got.tokensPerSecond/set.Bound, atLeast(minShareOfBound))
	t.figure("engines' time on prompts", "share", got.onPrompts)
	t.figure("tokens/s of the bound without the time on prompts", "ratio", got.tokensPerSecond/set.Bound/(1-got.onPrompts))
	t.figure("slots in use", "share", got.slotsInUse)
	for _, kind := range []accelerator{large, middle, small} {
		t.figure("busy: "+kind.name, "share", got.busy[kind.name])
	}
	t.figure("drafts that failed", "", float64(got.failed))
	s.reportViolations(t)
	return nil
}

// saturationResult holds the measurements of a saturated graph. onPrompts, slotsInUse and
// busy, by kind of accelerator, are shares.
type saturationResult struct {
	tokensPerSecond float64
	onPrompts       float64
	slotsInUse      float64
	busy            map[string]float64
	failed          int64
}

// saturate runs the drafts and measures for t.Duration, after a warm-up.
func (s *system) saturate(ctx context.Context, t *Trial) saturationResult {
	load, stop := context.WithCancel(ctx)
	defer stop()
	var tokens, failed counter
	var running sync.WaitGroup
	for worker := range saturationDrafts {
		running.Go(func() { s.draftContinuously(load, worker, t.Seed, &tokens, &failed) })
	}
	sleep.For(ctx, saturationWarmUp)
	before, work := tokens.Load(), s.engineWork()
	started := time.Now()
	slots := s.sampleSlots(ctx, t.Duration)
	took := time.Since(started).Seconds()
	got := s.workSince(work, took)
	got.tokensPerSecond = float64(tokens.Load()-before) / took
	got.slotsInUse = slots
	stop()
	running.Wait()
	got.failed = failed.Load()
	return got
}

// draftContinuously sends drafts one after the other. A tenth of them are ten times as long
// as the others.
func (s *system) draftContinuously(ctx context.Context, worker int, seed uint64, tokens, failed *counter) {
	random := rand.New(rand.NewPCG(seed, uint64(worker)))
	for number := 0; ctx.Err() == nil; number++ {
		length := shortDraft
		if random.Float64() < longShare {
			length = longDraft
		}
		answer, err := s.client(worker).Generate(ctx, "summary", promptOf("summary", worker*1_000_000+number), length, func(int) { tokens.Add(1) })
		if ctx.Err() == nil && requireComplete(err, answer) != nil {
			failed.Add(1)
		}
	}
}

// sampleSlots returns the mean share of the engines' slots in use during the given time.
func (s *system) sampleSlots(ctx context.Context, duration time.Duration) float64 {
	ends := time.Now().Add(duration)
	used, all := 0, 0
	for time.Now().Before(ends) && sleep.For(ctx, sampleInterval) {
		for _, e := range s.Engines {
			used += e.Active()
			all += e.Target().Slots
		}
	}
	return float64(used) / float64(max(1, all))
}

// work is the work that an engine has done, in layers times tokens.
type work struct{ prompts, tokens float64 }

// engineWork returns the work of each engine so far.
func (s *system) engineWork() map[string]work {
	done := map[string]work{}
	for name, e := range s.Engines {
		sum := work{}
		for _, x := range e.Executed() {
			sum.tokens += float64(x.Count * x.Layers.Len())
			sum.prompts += float64(x.Replayed*x.Layers.Len()) / enginesim.DefaultPrefillFactor
		}
		done[name] = sum
	}
	return done
}

// workSince returns how busy each kind of accelerator was since before, and the share of
// the work that was spent on prompts.
func (s *system) workSince(before map[string]work, seconds float64) saturationResult {
	got := saturationResult{busy: map[string]float64{}}
	rates := map[string]float64{}
	for name, now := range s.engineWork() {
		kind := kindOf(name)
		got.busy[kind.name] += (now.prompts + now.tokens - before[name].prompts - before[name].tokens) / seconds
		rates[kind.name] += kind.rate
	}
	for name := range got.busy {
		got.busy[name] /= rates[name]
	}
	got.onPrompts = s.promptShare(before)
	return got
}

// promptShare returns the share of the engines' work since before that was spent on prompts.
func (s *system) promptShare(before map[string]work) float64 {
	prompts, tokens := 0.0, 0.0
	for name, now := range s.engineWork() {
		prompts += now.prompts - before[name].prompts
		tokens += now.tokens - before[name].tokens
	}
	return prompts / max(prompts+tokens, 1)
}

func kindOf(engine string) accelerator {
	for _, e := range mixedEngines {
		if e.name == engine {
			return e.kind
		}
	}
	return accelerator{}
}
