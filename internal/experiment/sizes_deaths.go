package experiment

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	deathsShareOfBound = 0.7
	deathEvery         = 300 * time.Millisecond
	deadFor            = 500 * time.Millisecond
	deathsDraft        = 60
	checkTokens        = 10
	checksPerSecond    = 10.0
	lockoutsPerSecond  = 30.0
)

// underDeaths runs the same load without failures and then with a replica dead
// most of the time: an engine, and each fourth time an instance of the service.
func (s *scene) underDeaths(ctx context.Context, t *Trial, recovered *distribution) error {
	set, err := s.planned()
	if err != nil {
		return err
	}
	calm := together(ctx, t.Duration, s.todaysTraffic(t, set.Bound))
	ran := s.ranByBody()
	deaths, stop := context.WithCancel(ctx)
	done := make(chan int, 1)
	go func() { done <- s.killNowAndThen(deaths, t.Seed) }()
	struck := together(ctx, t.Duration, s.todaysTraffic(t, set.Bound))
	stop()
	t.figure("recovery: replicas killed", "", float64(<-done))
	for _, kind := range []string{"summary", "permit-check", "lockout"} {
		t.figure("recovery: "+kind+" complete without deaths", "share", calm[kind].share())
		t.figure("recovery: "+kind+" complete with deaths", "share", struck[kind].share())
	}
	t.figure("recovery: lockouts told unknown", "", float64(struck["lockout"].unknown))
	t.limited("recovery: requests without an outcome", "", float64(struck["lockout"].lost+struck["summary"].lost+struck["permit-check"].lost), atMost(0))
	t.limited("recovery: lockouts that ran twice", "", float64(s.ranTwice(ran)), atMost(0))
	t.figure("recovery: streams that went on past a death", "", float64(recovered.count()))
	t.figure("recovery: from the failure seen to the next token p50", "ms", recovered.quantile(50))
	t.limited("recovery: from the failure seen to the next token p99", "ms", recovered.quantile(99), atMost(wantedRecoveryMS))
	t.latencies("recovery: permit check without deaths", calm["permit-check"].whole)
	t.latencies("recovery: permit check with deaths", struck["permit-check"].whole)
	t.latencies("recovery: lockout with deaths", struck["lockout"].whole)
	t.figure("recovery: tokens/s of those without deaths", "ratio", struck["summary"].tokensPerSecond()/calm["summary"].tokensPerSecond())
	return s.drain(ctx)
}

func (s *scene) todaysTraffic(t *Trial, bound float64) map[string]traffic {
	callers := s.allCallers()
	drafts := deathsShareOfBound * bound / deathsDraft
	return map[string]traffic{
		"summary":      {callers: callers, profile: "summary-w00", perSecond: drafts, tokens: deathsDraft, seed: t.Seed},
		"permit-check": {callers: callers, profile: "permit-check-w01", perSecond: checksPerSecond, tokens: checkTokens, seed: t.Seed + 1},
		"lockout":      {callers: callers, profile: "lockout-w02", perSecond: lockoutsPerSecond, seed: t.Seed + 2, distinct: true},
	}
}

// killNowAndThen returns how many replicas it killed; all are alive at the end.
func (s *scene) killNowAndThen(ctx context.Context, seed uint64) int {
	random := rand.New(rand.NewPCG(seed, 1))
	killed := 0
	for sleepUntil(ctx, time.Now().Add(deathEvery)) {
		revive := s.killOne(random, killed)
		sleepUntil(ctx, time.Now().Add(deadFor))
		revive()
		killed++
	}
	return killed
}

func (s *scene) killOne(random *rand.Rand, number int) (revive func()) {
	const serviceEvery = 4
	if number%serviceEvery == serviceEvery-1 {
		service := s.Services["permits-0"]
		service.Die()
		return func() { _ = service.Revive() } // a dead service always revives
	}
	kind := random.IntN(3)
	count := todayHalves
	if kind == 0 {
		count = todayWhole
	}
	victim := s.Engines[engineName(kind, random.IntN(count))]
	victim.Die()
	return func() { _ = victim.Revive() } // a dead engine always revives
}

// ranTwice counts the calls that ran more than once since.
func (s *scene) ranTwice(since map[string]int) int {
	twice := 0
	for body, ran := range s.ranByBody() {
		if ran-since[body] > 1 {
			twice++
		}
	}
	return twice
}
