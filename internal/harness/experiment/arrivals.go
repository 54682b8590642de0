package experiment

import (
	"context"
	"sync"
	"time"

	"geraniumcroft/internal/harness/loadgen"
	"geraniumcroft/internal/sleep"
)

// maxUnderWay bounds the requests of one stream of arrivals that have not ended.
const maxUnderWay = 4096

// arrivals starts requests at random moments that do not depend on how earlier
// ones fare, so that a stall is not hidden by callers that wait for it.
type arrivals struct {
	perSecond float64
	duration  time.Duration
	seed      uint64
}

// run calls one with each request's number and its intended moment, and returns
// when all have ended.
func (a arrivals) run(ctx context.Context, one func(number int, intended time.Time)) {
	schedule := loadgen.NewSchedule(&loadgen.Options{
		Routers: []string{""}, Profiles: []loadgen.Profile{{Share: 1, PromptTokens: 1, MaxTokens: 1}},
		Rate: a.perSecond, Duration: a.duration, Seed: a.seed, Workspaces: loadgen.DefaultWorkspaces, Skew: loadgen.DefaultSkew,
	})
	var wait sync.WaitGroup
	defer wait.Wait()
	underWay := make(chan struct{}, maxUnderWay)
	started := time.Now()
	for next, ok := schedule.Next(); ok; next, ok = schedule.Next() {
		intended := started.Add(next.At)
		if !sleep.For(ctx, time.Until(intended)) {
			return
		}
		underWay <- struct{}{}
		wait.Go(func() {
			defer func() { <-underWay }()
			one(next.Number, intended)
		})
	}
}
