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

// traffic is a stream of requests of one kind.
type traffic struct {
	// callers are taken by turns.
	callers   []callclient.Client
	profile   string
	perSecond float64
	// tokens is the length of a generation; 0 makes calls.
	tokens int
	seed   uint64
}

// run sends for the duration and returns once every request has ended.
func (f traffic) run(ctx context.Context, duration time.Duration) *tally {
	y := newTally()
	started := time.Now()
	arrivals{perSecond: f.perSecond, duration: duration, seed: f.seed}.run(ctx, func(number int, intended time.Time) {
		caller := f.callers[number%len(f.callers)]
		sent := time.Now()
		answer, err := f.send(ctx, caller, number)
		y.add(intended, sent, answer, err)
	})
	y.took = time.Since(started)
	return y
}

func (f traffic) send(ctx context.Context, caller callclient.Client, number int) (callclient.Answer, error) {
	if f.tokens == 0 {
		return caller.Call(ctx, f.profile, "", []byte(`{"bay":7}`))
	}
	return caller.Generate(ctx, f.profile, promptOf(f.profile, number), f.tokens, nil)
}

// promptOf returns a prompt that shares no prefix with another request's.
func promptOf(profile string, number int) string {
	return fmt.Sprintf("%s %d", profile, number) + strings.Repeat(" breaker", promptWords)
}

// together runs streams of requests side by side, by name.
func together(ctx context.Context, duration time.Duration, streams map[string]traffic) map[string]*tally {
	tallies := map[string]*tally{}
	var mu sync.Mutex // guards tallies
	var wait sync.WaitGroup
	for name, stream := range streams {
		wait.Go(func() {
			y := stream.run(ctx, duration)
			mu.Lock()
			defer mu.Unlock()
			tallies[name] = y
		})
	}
	wait.Wait()
	return tallies
}
