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
	recoveryLoadShare = 0.6
	killInterval      = 300 * time.Millisecond
	replicaDowntime   = 500 * time.Millisecond
	// Lengths have a heavy tail; draftMean is the mean of lengths whose median is
	// draftMedian.
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

// Name patterns of the load's profiles; each workspace has its own profiles.
const (
	summaries    = "summary-w%d"
	permitChecks = "permit-check-w%d"
	lockouts     = "lockout-w%d"
)

// measureRecovery runs the same load without failures and then with a crashed replica most
// of the time: an engine, and every fourth time an instance of the service.
func (s *system) measureRecovery(ctx context.Context, t *Trial, recovered *distribution) error {
	set, err := s.computePlans()
	if err != nil {
		return err
	}
	undisturbed, err := loadgen.Run(ctx, s.deploymentLoad(t, set.Bound))
	if err != nil {
		return err
	}
	ran := s.executionsByRequest()
	killing, stop := context.WithCancel(ctx)
	done := make(chan int, 1)
	go func() { done <- s.killPeriodically(killing, t.Seed) }()
	affected, err := loadgen.Run(ctx, s.deploymentLoad(t, set.Bound))
	stop()
	killed := <-done
	if err != nil {
		return err
	}
	t.figure("recovery: replicas killed", "", float64(killed))
	t.figure("recovery: requests", "", float64(affected.Requests))
	t.reportRecovery(undisturbed, affected)
	t.limited("recovery: calls that ran twice", "", float64(s.countRepeated(ran)), atMost(0))
	t.figure("recovery: streams that went on past a death", "", float64(recovered.count()))
	t.figure("recovery: from the failure seen to the next token p50", "ms", recovered.percentile(50))
	t.limited("recovery: from the failure seen to the next token p99", "ms", recovered.percentile(99), atMost(maxRecoveryMS))
	return s.awaitIdle(ctx)
}

// reportRecovery adds the figures of the load without and with failures.
func (t *Trial) reportRecovery(undisturbed, affected *loadgen.Report) {
	t.limited("recovery: failed checks of answers", "", float64(undisturbed.FaultCount()+affected.FaultCount()), atMost(0))
	t.limited("recovery: requests without an outcome", "", float64(affected.Endings[loadgen.EndNoAnswer]), atMost(0))
	for _, profile := range []string{summaries, permitChecks, lockouts} {
		kind := strings.TrimSuffix(profile, "-w%d")
		t.figure("recovery: "+kind+" complete, calm", "share", completeShare(undisturbed, profile))
		t.figure("recovery: "+kind+" complete, with deaths", "share", completeShare(affected, profile))
	}
	t.figure("recovery: told unknown, with deaths", "", float64(affected.Endings[loadgen.EndUnknown]))
	t.figure("recovery: told not-run, with deaths", "", float64(affected.Endings[loadgen.EndNotRun]))
	t.figure("recovery: first token of permit checks p99, calm", "ms", completed(undisturbed, permitChecks).FirstToken.P99)
	t.figure("recovery: first token of permit checks p99, with deaths", "ms", completed(affected, permitChecks).FirstToken.P99)
	t.figure("recovery: lockouts p99, calm", "ms", completed(undisturbed, lockouts).Whole.P99)
	t.figure("recovery: lockouts p99, with deaths", "ms", completed(affected, lockouts).Whole.P99)
}

// completeShare returns the share of a profile's requests that are complete.
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

// completed returns the series of a profile's complete requests.
func completed(r *loadgen.Report, profile string) loadgen.SeriesReport {
	for _, series := range r.Series {
		if series.Profile == profile && series.Ending == loadgen.EndComplete {
			return series
		}
	}
	return loadgen.SeriesReport{}
}

// deploymentLoad returns the options of the load: drafts at recoveryLoadShare of the
// throughput bound, and urgent requests.
func (s *system) deploymentLoad(t *Trial, bound float64) loadgen.Options {
	drafts := recoveryLoadShare * bound / draftMean
	o := loadgen.Options{
		Rate: drafts + checksPerSecond + lockoutsPerSecond, Duration: t.Duration, Seed: t.Seed,
		Timeout: loadTimeout, MaxInFlight: maxInFlight, Workspaces: deploymentWorkspaces, Skew: workspaceSkew,
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

// killPeriodically kills and revives one replica at a time until ctx ends. It returns the
// number of kills, with all replicas running.
func (s *system) killPeriodically(ctx context.Context, seed uint64) int {
	random := rand.New(rand.NewPCG(seed, 1))
	killed := 0
	for sleep.For(ctx, killInterval) {
		revive := s.killOne(random, killed)
		sleep.For(ctx, replicaDowntime)
		revive()
		killed++
	}
	return killed
}

// killOne kills a replica and returns the function that revives it.
func (s *system) killOne(random *rand.Rand, number int) (revive func()) {
	const serviceEvery = 4
	if number%serviceEvery == serviceEvery-1 {
		service := s.Services["permits-0"]
		service.Die()
		return func() { _ = service.Revive() } // a dead service always revives
	}
	kind := random.IntN(3)
	count := replicasPerHalf
	if kind == 0 {
		count = wholeReplicas
	}
	target := s.Engines[engineName(kind, random.IntN(count))]
	target.Die()
	return func() { _ = target.Revive() } // a dead engine always revives
}

// executionsByRequest returns the number of executions of each call, by its request ID.
func (s *system) executionsByRequest() map[string]int {
	ran := map[string]int{}
	for _, service := range s.Services {
		for _, x := range service.Executions() {
			ran[x.RequestID]++
		}
	}
	return ran
}

// countRepeated returns the number of calls that ran more than once since.
func (s *system) countRepeated(since map[string]int) int {
	repeated := 0
	for id, ran := range s.executionsByRequest() {
		if ran-since[id] > 1 {
			repeated++
		}
	}
	return repeated
}
