package experiment

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
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
	random := rand.New(rand.NewPCG(a.seed, 0))
	var wait sync.WaitGroup
	defer wait.Wait()
	underWay := make(chan struct{}, maxUnderWay)
	started := time.Now()
	at := time.Duration(0)
	for number := 0; ; number++ {
		at += time.Duration(random.ExpFloat64() / a.perSecond * float64(time.Second))
		if at > a.duration || !sleepUntil(ctx, started.Add(at)) {
			return
		}
		underWay <- struct{}{}
		intended := started.Add(at)
		wait.Go(func() {
			defer func() { <-underWay }()
			one(number, intended)
		})
	}
}

func sleepUntil(ctx context.Context, moment time.Time) bool {
	left := time.Until(moment)
	if left <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
