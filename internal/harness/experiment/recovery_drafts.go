package experiment

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/harness/callclient"
	"geraniumcroft/internal/harness/standin/enginesim"
	"geraniumcroft/internal/sleep"
)

// draftRecovery injects a fault into one engine in each round, alternately one of the first
// and one of the second half of the layers. Only drafts that ran on this engine count.
func (s *system) draftRecovery(ctx context.Context, t *Trial, prefix string, callers []callclient.Client, fault draftFault) error {
	gaps, affected, whole := newDistribution(), 0, 0
	ends := time.Now().Add(t.Duration)
	for round := 0; time.Now().Before(ends) && ctx.Err() == nil; round++ {
		var target *enginesim.Engine
		drafts, at := s.draftRound(ctx, callers, round, func() {
			target = s.busiest(round % 2)
			fault.inject(target)
		})
		for _, d := range executedBy(target, drafts) {
			affected++
			if d.complete() {
				whole++
				gaps.add(max(0, d.gapAfter(at)-s.replayTime(d.answer.RequestID)))
			}
		}
		fault.repair(target)
		sleep.For(ctx, recoveryPause)
	}
	name := prefix + fault.name
	t.figure(name+": drafts struck", "", float64(affected))
	t.figure(name+": of these complete", "share", float64(whole)/float64(max(1, affected)))
	if whole == 0 {
		return errors.Wrap(s.awaitIdle(ctx), name)
	}
	t.figure(name+": next token above replay p50", "ms", gaps.percentile(50))
	t.limitedForProduct(name+": next token above replay p99", gaps.percentile(99), prefix, fault.limit)
	return errors.Wrap(s.awaitIdle(ctx), name)
}

// busiest returns the engine of a half with the most requests in progress. An engine that
// was faulty in an earlier round may not yet have its full share of the requests.
func (s *system) busiest(half int) *enginesim.Engine {
	var found *enginesim.Engine
	for number := range recoveryPool.copies {
		e := s.Engines[engineName(half, number)]
		if found == nil || e.Active() > found.Active() {
			found = e
		}
	}
	return found
}

// limitedForProduct adds a figure whose limit applies to the product and not to the
// baseline, whose figures have a prefix.
func (t *Trial) limitedForProduct(name string, value float64, prefix string, limit *Limit) {
	if prefix != "" {
		limit = nil
	}
	t.limited(name, "ms", value, limit)
}

// draftRound runs drafts concurrently and injects the fault while all are in progress. It
// returns the drafts and the time of the fault.
func (s *system) draftRound(ctx context.Context, callers []callclient.Client, round int, inject func()) ([]*timedDraft, time.Time) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	drafts := make([]*timedDraft, recoveryDrafts)
	var running sync.WaitGroup
	for i := range drafts {
		running.Go(func() {
			drafts[i] = timeDraft(ctx, callers[i%len(callers)], "summary", round*recoveryDrafts+i, recoveryTokens)
		})
	}
	sleep.For(ctx, draftFaultDelay)
	at := time.Now()
	inject()
	running.Wait()
	return drafts, at
}

// executedBy returns the drafts that ran on an engine.
func executedBy(target *enginesim.Engine, drafts []*timedDraft) []*timedDraft {
	executed := map[string]bool{}
	for _, x := range target.Executed() {
		executed[x.RequestID] = true
	}
	var found []*timedDraft
	for _, d := range drafts {
		if executed[d.answer.RequestID] {
			found = append(found, d)
		}
	}
	return found
}

// replayTime returns the time that engines spent on recomputing the cache entries that the
// failed engine had.
func (s *system) replayTime(requestID string) time.Duration {
	positions := 0
	for _, e := range s.Engines {
		for _, x := range e.Executed() {
			if x.RequestID == requestID && x.Epoch > 1 {
				positions += x.Replayed
			}
		}
	}
	perPosition := float64(recoveryPool.layers/2) / recoveryPool.layerRate / enginesim.DefaultPrefillFactor
	return time.Duration(float64(positions) * perPosition * float64(time.Second))
}
