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

// draftRecovery strikes one engine in each round, of one half of the layers and
// the other by turns. The drafts that it worked on are those that count.
func (s *scene) draftRecovery(ctx context.Context, t *Trial, prefix string, callers []callclient.Client, fault draftFault) error {
	gaps, struck, whole := newDistribution(), 0, 0
	ends := time.Now().Add(t.Duration)
	for round := 0; time.Now().Before(ends) && ctx.Err() == nil; round++ {
		var victim *enginesim.Engine
		drafts, at := s.draftRound(ctx, callers, round, func() {
			victim = s.busiest(round % 2)
			fault.strike(victim)
		})
		for _, d := range workedOn(victim, drafts) {
			struck++
			if d.complete() {
				whole++
				gaps.add(max(0, d.gapAfter(at)-s.replay(d.answer.RequestID)))
			}
		}
		fault.mend(victim)
		sleep.For(ctx, settleTime)
	}
	name := prefix + fault.name
	t.figure(name+": drafts struck", "", float64(struck))
	t.figure(name+": of these complete", "share", float64(whole)/float64(max(1, struck)))
	if whole == 0 {
		return errors.Wrap(s.drain(ctx), name)
	}
	t.figure(name+": next token above replay p50", "ms", gaps.quantile(50))
	t.recoveryLimit(name+": next token above replay p99", gaps.quantile(99), prefix, fault.wanted)
	return errors.Wrap(s.drain(ctx), name)
}

// busiest returns the engine of a half that has the most in hand: one that was
// struck in an earlier round may not have been taken back in full.
func (s *scene) busiest(half int) *enginesim.Engine {
	var found *enginesim.Engine
	for number := range recoveryPool.copies {
		e := s.Engines[engineName(half, number)]
		if found == nil || e.Active() > found.Active() {
			found = e
		}
	}
	return found
}

// recoveryLimit adds a figure whose limit binds the product alone.
func (t *Trial) recoveryLimit(name string, value float64, prefix string, wanted *Limit) {
	if prefix != "" {
		wanted = nil
	}
	t.limited(name, "ms", value, wanted)
}

// draftRound runs drafts side by side and strikes while all are under way.
func (s *scene) draftRound(ctx context.Context, callers []callclient.Client, round int, strike func()) ([]*timedDraft, time.Time) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	drafts := make([]*timedDraft, recoveryDrafts)
	var wait sync.WaitGroup
	for i := range drafts {
		wait.Go(func() {
			drafts[i] = draftTimed(ctx, callers[i%len(callers)], "summary", round*recoveryDrafts+i, recoveryTokens)
		})
	}
	sleep.For(ctx, strikeAfter)
	at := time.Now()
	strike()
	wait.Wait()
	return drafts, at
}

// workedOn returns the drafts that an engine had worked on.
func workedOn(victim *enginesim.Engine, drafts []*timedDraft) []*timedDraft {
	known := map[string]bool{}
	for _, x := range victim.Executed() {
		known[x.RequestID] = true
	}
	var found []*timedDraft
	for _, d := range drafts {
		if known[d.answer.RequestID] {
			found = append(found, d)
		}
	}
	return found
}

// replay is the time that the engines spent on computing anew what the failed one
// had in its cache.
func (s *scene) replay(requestID string) time.Duration {
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
