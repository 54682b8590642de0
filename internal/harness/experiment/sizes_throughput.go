package experiment

import (
	"context"
	"sync"
	"time"

	"geraniumcroft/internal/sleep"
)

const (
	throughputDraftTokens = 40
	draftsPerLarge        = 110
	draftsPerSmall        = 4
	throughputWarmUp      = 4 * time.Second
)

// measureThroughput keeps more drafts in progress than the engines have slots, most of them
// of the two large workspaces, and sends urgent requests at the same time.
func (s *system) measureThroughput(ctx context.Context, t *Trial) error {
	set, err := s.computePlans()
	if err != nil {
		return err
	}
	load, stop := context.WithCancel(ctx)
	defer stop()
	var tokens, failed counter
	from := time.Now().Add(throughputWarmUp)
	large, small := newDistribution(), newDistribution()
	var running sync.WaitGroup
	for number := range deploymentWorkspaces {
		drafts, firsts := draftsPerSmall, small
		if number < largeWorkspaces {
			drafts, firsts = draftsPerLarge, large
		}
		for worker := range drafts {
			running.Go(func() { s.draftForWorkspace(load, from, number, worker, firsts, &tokens, &failed) })
		}
	}
	sleep.For(ctx, time.Until(from))
	before, work, started := tokens.Load(), s.engineWork(), time.Now()
	slots := make(chan float64, 1)
	go func() { slots <- s.sampleSlots(ctx, t.Duration) }()
	urgent := runConcurrently(ctx, t.Duration, s.urgentLoad(t))
	onPrompts := s.promptShare(work)
	rate := float64(tokens.Load()-before) / time.Since(started).Seconds()
	stop()
	running.Wait()
	t.figure("throughput: bound", "tokens/s", set.Bound)
	t.limited("throughput: tokens/s of the bound", "ratio", rate/set.Bound, atLeast(minShareOfBound))
	t.figure("throughput: engines' time on prompts", "share", onPrompts)
	t.figure("throughput: tokens/s of the bound without the time on prompts", "ratio", rate/set.Bound/(1-onPrompts))
	t.figure("throughput: slots in use", "share", <-slots)
	t.figure("throughput: drafts that failed", "", float64(failed.Load()))
	t.latencies("throughput: first token, large workspaces", large)
	t.latencies("throughput: first token, small workspaces", small)
	for _, kind := range []string{"permit-check", "lockout"} {
		t.latencies("throughput: "+kind, urgent[kind].whole)
		t.figure("throughput: "+kind+" complete", "share", urgent[kind].share())
	}
	return s.awaitIdle(ctx)
}

// urgentLoad returns the urgent requests of the throughput part.
func (s *system) urgentLoad(t *Trial) map[string]traffic {
	callers := s.allCallers()
	return map[string]traffic{
		"permit-check": {callers: callers, profile: "permit-check-w1", perSecond: checksPerSecond, tokens: checkTokens, seed: t.Seed + 1},
		"lockout":      {callers: callers, profile: "lockout-w2", perSecond: lockoutsPerSecond, seed: t.Seed + 2},
	}
}

// draftForWorkspace sends drafts of one workspace one after the other. The time to the first
// token counts for drafts that are sent after from, when all slots are in use.
func (s *system) draftForWorkspace(ctx context.Context, from time.Time, number, worker int, firsts *distribution, tokens, failed *counter) {
	profile := "summary-" + workspaceName(number)
	for count := 0; ctx.Err() == nil; count++ {
		sent := time.Now()
		answer, err := s.client(worker).Generate(ctx, profile, promptOf(profile, worker*1_000_000+count), throughputDraftTokens, func(int) { tokens.Add(1) })
		switch {
		case ctx.Err() != nil:
		case requireComplete(err, answer) != nil:
			failed.Add(1)
		case sent.After(from):
			firsts.add(answer.FirstToken)
		}
	}
}
