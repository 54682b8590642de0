package experiment

import (
	"context"
	"sync"
	"time"

	"geraniumcroft/internal/harness/loadgen"
	"geraniumcroft/internal/sleep"
)

// maxUnfinished limits the requests of one stream of arrivals that have not ended. At the
// limit, run waits before it starts the next one.
const maxUnfinished = 4096

// arrivals starts requests at random times that do not depend on the progress of earlier
// requests. Callers that waited for earlier answers would send less during a stall and so
// hide it.
type arrivals struct {
	perSecond float64
	duration  time.Duration
	seed      uint64
}

// run calls send with the number and the intended time of each request, each in its own
// goroutine. It returns when all have ended.
func (a arrivals) run(ctx context.Context, send func(number int, intended time.Time)) {
	schedule := loadgen.NewSchedule(&loadgen.Options{
		Routers: []string{""}, Profiles: []loadgen.Profile{{Share: 1, PromptTokens: 1, MaxTokens: 1}},
		Rate: a.perSecond, Duration: a.duration, Seed: a.seed, Workspaces: loadgen.DefaultWorkspaces, Skew: loadgen.DefaultSkew,
	})
	var running sync.WaitGroup
	defer running.Wait()
	unfinished := make(chan struct{}, maxUnfinished)
	started := time.Now()
	for next, ok := schedule.Next(); ok; next, ok = schedule.Next() {
		intended := started.Add(next.At)
		if !sleep.For(ctx, time.Until(intended)) {
			return
		}
		unfinished <- struct{}{}
		running.Go(func() {
			defer func() { <-unfinished }()
			send(next.Number, intended)
		})
	}
}
