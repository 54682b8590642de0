package experiment

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/harness/callclient"
	"geraniumcroft/internal/sleep"
)

const (
	lossCalls    = 200
	lossInterval = 10
)

// callRecovery injects a fault into one instance in each round, while all instances have
// calls. If n calls had reached the faulty instance, the n slowest answers of the round
// count.
func (s *system) callRecovery(ctx context.Context, t *Trial, prefix string, callers []callclient.Client, fault callFault) error {
	waits, affected, whole := newDistribution(), 0, 0
	ends := time.Now().Add(t.Duration)
	for round := 0; time.Now().Before(ends) && ctx.Err() == nil; round++ {
		target := s.Services[fmt.Sprintf("permits-%d", round%recoveryPool.instances)]
		before, reached := target.Received(), 0
		waited := callRound(ctx, callers, fault.profile, func() {
			reached = int(target.Received() - before)
			fault.inject(target)
		})
		for _, took := range waited[len(waited)-reached:] {
			affected++
			if took < noAnswer {
				whole++
				waits.add(max(0, took-recoveryPool.serviceTime))
			}
		}
		fault.repair(target)
		sleep.For(ctx, recoveryPause)
	}
	name := prefix + fault.name
	t.figure(name+": calls struck", "", float64(affected))
	t.figure(name+": of these complete", "share", float64(whole)/float64(max(1, affected)))
	if whole == 0 {
		return errors.Wrap(s.awaitIdle(ctx), name)
	}
	t.figure(name+": answer above service time p50", "ms", waits.percentile(50))
	t.limitedForProduct(name+": answer above service time p99", waits.percentile(99), prefix, atMost(maxRecoveryMS))
	return errors.Wrap(s.awaitIdle(ctx), name)
}

// noAnswer stands for the time of a call without a complete answer.
const noAnswer = time.Hour

// callRound starts calls at the same time and injects the fault after callFaultDelay. It
// returns the times from the fault to the answers, sorted.
func callRound(ctx context.Context, callers []callclient.Client, profile string, inject func()) []time.Duration {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	ended := make([]time.Time, recoveryCalls)
	var running sync.WaitGroup
	for i := range ended {
		running.Go(func() {
			answer, err := callers[i%len(callers)].Call(ctx, profile, "", []byte("{}"))
			if requireComplete(err, answer) == nil {
				ended[i] = time.Now()
			}
		})
	}
	sleep.For(ctx, callFaultDelay)
	at := time.Now()
	inject()
	running.Wait()
	waited := make([]time.Duration, len(ended))
	for i, end := range ended {
		waited[i] = noAnswer
		if !end.IsZero() {
			waited[i] = end.Sub(at)
		}
	}
	slices.Sort(waited)
	return waited
}

// lostAnswers makes calls that may not be repeated. Every tenth of them loses its answer
// after it has run. It counts the calls that ran more than once, and those that ran
// although their outcome was not-run.
func (s *system) lostAnswers(ctx context.Context, t *Trial, prefix string, callers []callclient.Client) error {
	ran := s.executionsByBody()
	outcomes := map[string]string{}
	for i := range lossCalls {
		body := fmt.Sprintf(`{"loss":"%s%d-%d"}`, prefix, t.Seed, i)
		if i%lossInterval == 0 {
			s.loseNextAnswer(i)
		}
		answer, err := callers[i%len(callers)].Call(ctx, "lockout", "", []byte(body))
		if err != nil {
			return err
		}
		outcomes[body] = answer.Outcome
	}
	s.reportLosses(t, prefix, ran, outcomes)
	return s.awaitIdle(ctx)
}
