package experiment

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"geraniumcroft/internal/harness/loadgen"
	"geraniumcroft/internal/sleep"
)

const (
	deathsShareOfBound = 0.6
	deathEvery         = 300 * time.Millisecond
	deadFor            = 500 * time.Millisecond
	// Lengths have a heavy tail; draftMean is what the mean of draftMedian comes to.
	draftMedian       = 16
	draftMean         = 28.0
	draftPrompt       = 24
	checkTokens       = 10
	checksPerSecond   = 10.0
	lockoutsPerSecond = 30.0
	loadTimeout       = 2 * time.Minute
	maxInFlight       = 5000
	workspaceSkew     = 1.3
)

// The profiles of the mix; each workspace has its own.
const (
	summaries    = "summary-w%d"
	permitChecks = "permit-check-w%d"
	lockouts     = "lockout-w%d"
)

// underDeaths runs the same load without failures and then with a replica dead
// most of the time: an engine, and each fourth time an instance of the service.
func (s *scene) underDeaths(ctx context.Context, t *Trial, recovered *distribution) error {
	set, err := s.planned()
	if err != nil {
		return err
	}
	calm, err := loadgen.Run(ctx, s.todaysLoad(t, set.Bound))
	if err != nil {
		return err
	}
	ran := s.ranByRequest()
	deaths, stop := context.WithCancel(ctx)
	done := make(chan int, 1)
	go func() { done <- s.killNowAndThen(deaths, t.Seed) }()
	struck, err := loadgen.Run(ctx, s.todaysLoad(t, set.Bound))
	stop()
	killed := <-done
	if err != nil {
		return err
	}
	t.figure("recovery: replicas killed", "", float64(killed))
	t.figure("recovery: requests", "", float64(struck.Requests))
	t.reportDeaths(calm, struck)
	t.limited("recovery: calls that ran twice", "", float64(s.ranTwice(ran)), atMost(0))
	t.figure("recovery: streams that went on past a death", "", float64(recovered.count()))
	t.figure("recovery: from the failure seen to the next token p50", "ms", recovered.quantile(50))
	t.limited("recovery: from the failure seen to the next token p99", "ms", recovered.quantile(99), atMost(wantedRecoveryMS))
	return s.drain(ctx)
}

func (t *Trial) reportDeaths(calm, struck *loadgen.Report) {
	t.limited("recovery: failed checks of answers", "", float64(calm.FaultCount()+struck.FaultCount()), atMost(0))
	t.limited("recovery: requests without an outcome", "", float64(struck.Endings[loadgen.EndNoAnswer]), atMost(0))
	for _, profile := range []string{summaries, permitChecks, lockouts} {
		kind := strings.TrimSuffix(profile, "-w%d")
		t.figure("recovery: "+kind+" complete, calm", "share", completeShare(calm, profile))
		t.figure("recovery: "+kind+" complete, with deaths", "share", completeShare(struck, profile))
	}
	t.figure("recovery: told unknown, with deaths", "", float64(struck.Endings[loadgen.EndUnknown]))
	t.figure("recovery: told not-run, with deaths", "", float64(struck.Endings[loadgen.EndNotRun]))
	t.figure("recovery: first token of permit checks p99, calm", "ms", completed(calm, permitChecks).FirstToken.P99)
	t.figure("recovery: first token of permit checks p99, with deaths", "ms", completed(struck, permitChecks).FirstToken.P99)
	t.figure("recovery: lockouts p99, calm", "ms", completed(calm, lockouts).Whole.P99)
	t.figure("recovery: lockouts p99, with deaths", "ms", completed(struck, lockouts).Whole.P99)
}

func completeShare(r *loadgen.Report, profile string) float64 {
	complete, all := 0, 0
	for _, series := range r.Series {
		if series.Profile != profile {
			continue
		}
		all += series.Requests
		if series.Ending == loadgen.EndComplete {
			complete += series.Requests
		}
	}
	return float64(complete) / float64(max(1, all))
}

func completed(r *loadgen.Report, profile string) loadgen.SeriesReport {
	for _, series := range r.Series {
		if series.Profile == profile && series.Ending == loadgen.EndComplete {
			return series
		}
	}
	return loadgen.SeriesReport{}
}

func (s *scene) todaysLoad(t *Trial, bound float64) loadgen.Options {
	drafts := deathsShareOfBound * bound / draftMean
	o := loadgen.Options{
		Rate: drafts + checksPerSecond + lockoutsPerSecond, Duration: t.Duration, Seed: t.Seed,
		Timeout: loadTimeout, MaxInFlight: maxInFlight, Workspaces: todayWorkspaces, Skew: workspaceSkew,
		Profiles: []loadgen.Profile{
			{Name: summaries, Kind: loadgen.KindChat, Share: drafts, PromptTokens: draftPrompt, MaxTokens: draftMedian},
			{Name: permitChecks, Kind: loadgen.KindChat, Share: checksPerSecond, PromptTokens: draftPrompt, MaxTokens: checkTokens},
			{Name: lockouts, Kind: loadgen.KindCall, Share: lockoutsPerSecond, PromptTokens: draftPrompt},
		},
	}
	for _, n := range s.Nodes {
		o.Routers = append(o.Routers, n.CallersAddress())
	}
	return o
}

// killNowAndThen returns how many replicas it killed; all are alive at the end.
func (s *scene) killNowAndThen(ctx context.Context, seed uint64) int {
	random := rand.New(rand.NewPCG(seed, 1))
	killed := 0
	for sleep.For(ctx, deathEvery) {
		revive := s.killOne(random, killed)
		sleep.For(ctx, deadFor)
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

// ranByRequest counts the executions of each call by its request.
func (s *scene) ranByRequest() map[string]int {
	ran := map[string]int{}
	for _, service := range s.Services {
		for _, x := range service.Executions() {
			ran[x.RequestID]++
		}
	}
	return ran
}

// ranTwice counts the calls that ran more than once since.
func (s *scene) ranTwice(since map[string]int) int {
	twice := 0
	for id, ran := range s.ranByRequest() {
		if ran-since[id] > 1 {
			twice++
		}
	}
	return twice
}
