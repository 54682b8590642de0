package experiment

import (
	"context"
	"time"

	"geraniumcroft/internal/harness/callclient"
)

// timedDraft is a draft with the time at which each token arrived.
type timedDraft struct {
	answer callclient.Answer
	err    error
	tokens []time.Time
}

// timeDraft runs a draft and records the time of each token.
func timeDraft(ctx context.Context, caller callclient.Client, profile string, number, tokens int) *timedDraft {
	d := &timedDraft{}
	d.answer, d.err = caller.Generate(ctx, profile, promptOf(profile, number), tokens, func(int) {
		d.tokens = append(d.tokens, time.Now())
	})
	return d
}

func (d *timedDraft) complete() bool { return d.err == nil && d.answer.Outcome == outcomeComplete }

// gapAfter returns the longest gap before a token that arrived after faultTime. For a draft
// without earlier tokens, the first gap starts at faultTime.
func (d *timedDraft) gapAfter(faultTime time.Time) time.Duration {
	longest := time.Duration(0)
	before := faultTime
	for _, at := range d.tokens {
		if at.After(faultTime) {
			longest = max(longest, at.Sub(before))
		}
		before = at
	}
	return longest
}
