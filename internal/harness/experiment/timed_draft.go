package experiment

import (
	"context"
	"time"

	"geraniumcroft/internal/harness/callclient"
)

// timedDraft is a draft with the moment at which each token came.
type timedDraft struct {
	answer callclient.Answer
	err    error
	tokens []time.Time
}

func draftTimed(ctx context.Context, caller callclient.Client, profile string, number, tokens int) *timedDraft {
	d := &timedDraft{}
	d.answer, d.err = caller.Generate(ctx, profile, promptOf(profile, number), tokens, func(int) {
		d.tokens = append(d.tokens, time.Now())
	})
	return d
}

func (d *timedDraft) complete() bool { return d.err == nil && d.answer.Outcome == outcomeComplete }

// gapAfter returns the longest wait for a token that ended after the moment. A
// draft without a token by then waits since the moment.
func (d *timedDraft) gapAfter(moment time.Time) time.Duration {
	longest := time.Duration(0)
	before := moment
	for _, at := range d.tokens {
		if at.After(moment) {
			longest = max(longest, at.Sub(before))
		}
		before = at
	}
	return longest
}
