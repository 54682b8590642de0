package experiment

import (
	"context"
	"sync"
	"time"
)

const (
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
	sleepUntil(ctx, from)
	before, started := tokens.Load(), time.Now()
	urgent := together(ctx, t.Duration, s.urgentBeside(t))
	rate := float64(tokens.Load()-before) / time.Since(started).Seconds()
	stop()
	wait.Wait()
	t.figure("throughput: bound", "tokens/s", set.Bound)
	t.limited("throughput: tokens/s of the bound", "ratio", rate/set.Bound, atLeast(wantedOfBound))
	t.figure("throughput: drafts that failed", "", float64(failed.Load()))
	t.figure("throughput: first token, large workspaces p50", "ms", large.quantile(50))
	t.figure("throughput: first token, small workspaces p50", "ms", small.quantile(50))
	for _, kind := range []string{"permit-check", "lockout"} {
		t.latencies("throughput: "+kind, urgent[kind].whole)
		t.figure("throughput: "+kind+" complete", "share", urgent[kind].share())
	}
	return s.drain(ctx)
}

func (s *scene) urgentBeside(t *Trial) map[string]traffic {
	both := s.todaysTraffic(t, 1)
	delete(both, "summary")
	return both
}

// draftFor sends one workspace's next draft when one has ended. First tokens count
// from the moment at which the house is full.
func (s *scene) draftFor(ctx context.Context, from time.Time, number, worker int, firsts *distribution, tokens, failed *counter) {
	profile := "summary-" + workspaceName(number)
	for count := 0; ctx.Err() == nil; count++ {
		answer, err := s.client(worker).Draft(ctx, profile, promptOf(profile, worker*1_000_000+count), deathsDraft, func(int) { tokens.Add(1) })
		switch {
		case ctx.Err() != nil:
		case orIncomplete(err, answer) != nil:
			failed.Add(1)
		case time.Now().After(from):
			firsts.add(answer.First)
		}
	}
}
