package experiment

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"geraniumcroft/internal/harness/callclient"
)

const promptWords = 24

// traffic describes a stream of requests of one kind.
type traffic struct {
	// callers are used in turn.
	callers   []callclient.Client
	profile   string
	perSecond float64
	// tokens is the length of each generation; with 0 the requests are calls.
	tokens int
	seed   uint64
}

// run sends requests for the duration and returns when all have ended.
func (f traffic) run(ctx context.Context, duration time.Duration) *trafficStats {
	st := newTrafficStats()
	started := time.Now()
	arrivals{perSecond: f.perSecond, duration: duration, seed: f.seed}.run(ctx, func(number int, intended time.Time) {
		caller := f.callers[number%len(f.callers)]
		sent := time.Now()
		answer, err := f.send(ctx, caller, number)
		st.add(intended, sent, answer, err)
	})
	st.took = time.Since(started)
	return st
}

func (f traffic) send(ctx context.Context, caller callclient.Client, number int) (callclient.Answer, error) {
	if f.tokens == 0 {
		return caller.Call(ctx, f.profile, "", []byte(`{"bay":7}`))
	}
	return caller.Generate(ctx, f.profile, promptOf(f.profile, number), f.tokens, nil)
}

// promptOf returns a prompt that shares no prefix with those of other requests.
func promptOf(profile string, number int) string {
	return fmt.Sprintf("%s %d", profile, number) + strings.Repeat(" breaker", promptWords)
}

// runConcurrently runs streams of requests concurrently and returns the statistics of each
// by its name.
func runConcurrently(ctx context.Context, duration time.Duration, streams map[string]traffic) map[string]*trafficStats {
	results := map[string]*trafficStats{}
	var mu sync.Mutex // guards results
	var running sync.WaitGroup
	for name, stream := range streams {
		running.Go(func() {
			st := stream.run(ctx, duration)
			mu.Lock()
			defer mu.Unlock()
			results[name] = st
		})
	}
	running.Wait()
	return results
}
