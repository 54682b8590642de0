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
	lossCalls = 200
	lossEvery = 10
)

// callRecovery strikes one instance in each round while calls are on all of them.
// As many of the slowest answers count as calls had reached the struck instance.
func (s *scene) callRecovery(ctx context.Context, t *Trial, prefix string, callers []callclient.Client, fault callFault) error {
	waits, struck, whole := newDistribution(), 0, 0
	ends := time.Now().Add(t.Duration)
	for round := 0; time.Now().Before(ends) && ctx.Err() == nil; round++ {
		victim := s.Services[fmt.Sprintf("permits-%d", round%recoveryPool.instances)]
		before, hit := victim.Received(), 0
		waited := callRound(ctx, callers, fault.profile, func() {
			hit = int(victim.Received() - before)
			fault.strike(victim)
		})
		for _, took := range waited[len(waited)-hit:] {
			struck++
			if took < never {
				whole++
				waits.add(max(0, took-recoveryPool.serviceTime))
			}
		}
		fault.mend(victim)
		sleep.For(ctx, settleTime)
	}
	name := prefix + fault.name
	t.figure(name+": calls struck", "", float64(struck))
	t.figure(name+": of these complete", "share", float64(whole)/float64(max(1, struck)))
	if whole == 0 {
		return errors.Wrap(s.drain(ctx), name)
	}
	t.figure(name+": answer above service time p50", "ms", waits.quantile(50))
	t.recoveryLimit(name+": answer above service time p99", waits.quantile(99), prefix, atMost(wantedRecoveryMS))
	return errors.Wrap(s.drain(ctx), name)
}

// never is the wait of a call without a whole answer.
const never = time.Hour

// callRound makes calls at one moment, strikes soon after, and returns how long
// after the strike each had its answer, in order.
func callRound(ctx context.Context, callers []callclient.Client, profile string, strike func()) []time.Duration {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	ended := make([]time.Time, recoveryCalls)
	var wait sync.WaitGroup
	for i := range ended {
		wait.Go(func() {
			answer, err := callers[i%len(callers)].Call(ctx, profile, "", []byte("{}"))
			if orIncomplete(err, answer) == nil {
				ended[i] = time.Now()
			}
		})
	}
	sleep.For(ctx, strikeCallAfter)
	at := time.Now()
	strike()
	wait.Wait()
	waited := make([]time.Duration, len(ended))
	for i, moment := range ended {
		waited[i] = never
		if !moment.IsZero() {
			waited[i] = moment.Sub(at)
		}
	}
	slices.Sort(waited)
	return waited
}

// lostAnswers lets every tenth call that may not be repeated lose its answer after
// it has run, and counts the calls that ran more than once, and those that ran
// although their callers were told that they did not.
func (s *scene) lostAnswers(ctx context.Context, t *Trial, prefix string, callers []callclient.Client) error {
	ran := s.ranByBody()
	outcomes := map[string]string{}
	for i := range lossCalls {
		body := fmt.Sprintf(`{"loss":"%s%d-%d"}`, prefix, t.Seed, i)
		if i%lossEvery == 0 {
			s.loseOne(i)
		}
		answer, err := callers[i%len(callers)].Call(ctx, "lockout", "", []byte(body))
		if err != nil {
			return err
		}
		outcomes[body] = answer.Outcome
	}
	s.reportLosses(t, prefix, ran, outcomes)
	return s.drain(ctx)
}
