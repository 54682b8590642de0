package claim

import (
	"context"
	"encoding/json"
	"time"

	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/platform"
)

// Finish records how a claimed request ended; the answer may be nil and is kept
// when it is small. It ends the claim on this VM whether or not it succeeds, so it is
// called once, after the last moment at which the request could be dispatched.
//
// After NotRun it writes a tombstone. Only when it returns nil may the caller be
// told not-run; otherwise the request did not run, but a later one with the same key
// cannot know that yet, and the caller must be told unknown. Run goes on trying.
func (c *Claims) Finish(ctx context.Context, k Key, requestID string, o outcome.Outcome, a *Answer) error {
	claim, ok := c.disown(k, requestID)
	if !ok {
		return ErrNotOwner
	}
	err := c.writeEnd(ctx, claim, requestID, o, a)
	if err != nil {
		c.counters.unended.Add(1)
		return err
	}
	c.counters.finished.Add(1)
	return nil
}

func (c *Claims) writeEnd(ctx context.Context, claim ownedClaim, requestID string, o outcome.Outcome, a *Answer) error {
	record := endRecord{
		RequestID: requestID,
		State:     endStateOf(o),
		KeepUntil: c.keepEndUntil(claim),
	}
	if o == outcome.Complete && a != nil && len(a.Body) <= MaxKeptAnswer {
		record.Answer = a
	}
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	// The end is written also when the caller is gone and its context has ended: a
	// copy of its request may still come.
	ctx = platform.WithRateClass(context.WithoutCancel(ctx), platform.RateClassUrgent)
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	row := newRow{key: claim.key.endRow(), value: value}
	err = c.writer.write(ctx, row)
	if err != nil {
		c.late.add(row)
	}
	return err
}

// keepEndUntil keeps the end at least as long as its claim, and a tombstone longer
// than any copy of the request can still be on its way: a copy that found neither
// row would run after its caller was told not-run.
func (c *Claims) keepEndUntil(claim ownedClaim) time.Time {
	until := time.Now().Add(c.settings.Retention)
	if claim.keepUntil.After(until) {
		return claim.keepUntil
	}
	return until
}
