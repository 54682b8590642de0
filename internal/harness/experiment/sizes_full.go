package experiment

import (
	"context"
	"geraniumcroft/internal/sleep"
	"sync"
	"time"
)

const (
	fullDraft   = 40
	largeDrafts = 110
	smallDrafts = 4
	fullLead    = 4 * time.Second
)

// fullHouse keeps more drafts waiting than the engines have slots, most of them of
// two large workspaces, and sends urgent work beside them.
func (s *scene) fullHouse(ctx context.Context, t *Trial) error {
	set, err := s.planned()
	if err != nil {
		return err
	}
	load, stop := context.WithCancel(ctx)
	defer stop()
	var tokens, failed counter
	from := time.Now().Add(fullLead)
	large, small := newDistribution(), newDistribution()
	var wait sync.WaitGroup
	for number := range todayWorkspaces {
		drafts, firsts := smallDrafts, small
		if number < largeWorkspaces {
			drafts, firsts = largeDrafts, large
		}
		for worker := range drafts {
			wait.Go(func() { s.draftFor(load, from, number, worker, firsts, &tokens, &failed) })
		}
	}
	sleep.For(ctx, time.Until(from))
	before, work, started := tokens.Load(), s.engineWork(), time.Now()
	slots := make(chan float64, 1)
	go func() { slots <- s.sampleSlots(ctx, t.Duration) }()
	urgent := together(ctx, t.Duration, s.urgentBeside(t))
	onPrompts := s.promptShare(work)
	rate := float64(tokens.Load()-before) / time.Since(started).Seconds()
	stop()
	wait.Wait()
	t.figure("throughput: bound", "tokens/s", set.Bound)
	t.limited("throughput: tokens/s of the bound", "ratio", rate/set.Bound, atLeast(wantedOfBound))
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
	return s.drain(ctx)
}

func (s *scene) urgentBeside(t *Trial) map[string]traffic {
	callers := s.allCallers()
	return map[string]traffic{
		"permit-check": {callers: callers, profile: "permit-check-w1", perSecond: checksPerSecond, tokens: checkTokens, seed: t.Seed + 1},
		"lockout":      {callers: callers, profile: "lockout-w2", perSecond: lockoutsPerSecond, seed: t.Seed + 2},
	}
}

// draftFor sends one workspace's next draft when one has ended. First tokens count
// of what is sent once the house is full.
func (s *scene) draftFor(ctx context.Context, from time.Time, number, worker int, firsts *distribution, tokens, failed *counter) {
	profile := "summary-" + workspaceName(number)
	for count := 0; ctx.Err() == nil; count++ {
		sent := time.Now()
		answer, err := s.client(worker).Generate(ctx, profile, promptOf(profile, worker*1_000_000+count), fullDraft, func(int) { tokens.Add(1) })
		switch {
		case ctx.Err() != nil:
		case orIncomplete(err, answer) != nil:
			failed.Add(1)
		case sent.After(from):
			firsts.add(answer.FirstToken)
		}
	}
}
