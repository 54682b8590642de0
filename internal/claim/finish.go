package claim

import (
	"context"
	"encoding/json"
	"time"

	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/platform"
)

// Finish records how a claimed request ended. The answer may be nil; for a complete
// request it is kept if its body has at most MaxKeptAnswer bytes. Finish releases the
// claim on this VM even if it returns an error, so it is called once, when the request
// can no longer be dispatched.
//
// For outcome.NotRun it writes a tombstone. The caller may receive not-run only if
// Finish returns nil. Otherwise the caller must receive unknown: the request did not
// run, but a later request with the same key can't determine that yet. Run retries
// the write.
func (c *Claims) Finish(ctx context.Context, k Key, requestID string, o outcome.Outcome, a *Answer) error {
	claim, ok := c.removeOwned(k, requestID)
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

// writeEnd writes the end row and queues it for a retry if that fails.
func (c *Claims) writeEnd(ctx context.Context, claim ownedClaim, requestID string, o outcome.Outcome, a *Answer) error {
	record := endRecord{
		RequestID: requestID,
		State:     endStateOf(o),
		KeepUntil: c.endKeepUntil(claim),
	}
	if o == outcome.Complete && a != nil && len(a.Body) <= MaxKeptAnswer {
		record.Answer = a
	}
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	// The end row is written even if the caller has disconnected and its context has
	// ended, since a copy of its request may still arrive.
	ctx = platform.WithRateClass(context.WithoutCancel(ctx), platform.RateClassUrgent)
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	row := newRow{key: claim.key.endRow(), value: value}
	err = c.writer.write(ctx, row)
	if err != nil {
		c.retries.add(row)
	}
	return err
}

// endKeepUntil returns the time until which the end row is kept: at least as long as
// its claim row, and for a tombstone longer than any copy of the request can be in
// flight. A copy that found neither row would run after the caller received not-run.
func (c *Claims) endKeepUntil(claim ownedClaim) time.Time {
	until := time.Now().Add(c.settings.Retention)
	if claim.keepUntil.After(until) {
		return claim.keepUntil
	}
	return until
}
