package claim

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/platform"
)

// Claim claims the key for the request, or says how the request ends without a
// dispatch. The digest is that of the request's body; expires is the request's
// deadline. It returns within the settings' timeout, at once while the table is
// known to be out.
func (c *Claims) Claim(ctx context.Context, k Key, requestID string, digest [32]byte, expires time.Time) Decision {
	ctx, cancel := c.bounded(ctx, expires)
	defer cancel()
	decision := c.decide(ctx, k, requestID, digest, expires)
	c.count(decision)
	return decision
}

func (c *Claims) bounded(ctx context.Context, expires time.Time) (context.Context, context.CancelFunc) {
	bound := time.Now().Add(c.settings.Timeout)
	if expires.Before(bound) {
		bound = expires
	}
	return context.WithDeadline(platform.WithRateClass(ctx, platform.RateClassUrgent), bound)
}

func (c *Claims) decide(ctx context.Context, k Key, requestID string, digest [32]byte, expires time.Time) Decision {
	record := claimRecord{
		Digest:    digest[:],
		Owner:     c.vm,
		RequestID: requestID,
		Deadline:  expires,
		KeepUntil: expires.Add(c.settings.Retention),
	}
	value, err := json.Marshal(record)
	if err != nil {
		return c.storeFailed(err)
	}
	err = c.writer.write(ctx, newRow{key: k.claimRow(), value: value})
	if err == nil {
		c.own(requestID, ownedClaim{key: k, keepUntil: record.KeepUntil})
		return Decision{Run: true}
	}
	var refused *platform.RefusedError
	if errors.As(err, &refused) && len(refused.Rows) == 1 {
		return c.decideByOther(ctx, k, digest, refused.Rows[0])
	}
	return c.storeFailed(err)
}

// decideByOther decides by the claim of another request with the same key.
func (c *Claims) decideByOther(ctx context.Context, k Key, digest [32]byte, row platform.Row) Decision {
	var record claimRecord
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return c.storeFailed(err)
	}
	if !bytes.Equal(record.Digest, digest[:]) {
		// The row keeps this body from running under the key anywhere.
		return failed(outcome.Refuse(outcome.ReasonKeyReused, "the idempotency key was used with another request body"))
	}
	rows, err := c.table.Get(ctx, k.endRow())
	if err != nil {
		return c.storeFailed(err)
	}
	if len(rows) != 1 || rows[0].Revision == 0 {
		return c.unended(record)
	}
	var end endRecord
	if err := json.Unmarshal(rows[0].Value, &end); err != nil {
		return c.storeFailed(err)
	}
	// An end that was written so late that its claim had been swept is not about the
	// request that has the key now.
	if end.RequestID != record.RequestID {
		return c.unended(record)
	}
	return decideByEnd(end)
}

// unended decides about a claim without an end. Past its deadline its owner died,
// or could not write the end; the request may have run, so the key stays spent.
func (c *Claims) unended(record claimRecord) Decision {
	if time.Now().After(record.Deadline) {
		return failed(outcome.Uncertain(outcome.ReasonKeySpent,
			"an earlier request with this key ended without a trace; it may have run"))
	}
	failure := outcome.Uncertain(outcome.ReasonKeyInProgress, "an earlier request with this key is in progress")
	return failed(failure.WithRetryAfter(c.settings.RetryAfter))
}

func decideByEnd(end endRecord) Decision {
	switch {
	case end.State == endComplete && end.Answer != nil:
		return Decision{Replay: end.Answer}
	case end.State == endComplete:
		return failed(outcome.Uncertain(outcome.ReasonKeySpent,
			"an earlier request with this key completed; its answer was too large to keep"))
	case end.State == endNotRun:
		return failed(outcome.Refuse(outcome.ReasonKeySpent,
			"an earlier request with this key was refused and did not run; use a new key"))
	default:
		return failed(outcome.Uncertain(outcome.ReasonKeySpent,
			"an earlier request with this key ended without its answer; it may have run"))
	}
}

// storeFailed ends a request whose claim could not be written or read. It never
// says not-run: an earlier request with the key may have run on another VM.
func (c *Claims) storeFailed(cause error) Decision {
	failure := outcome.Uncertain(outcome.ReasonStoreUnavailable,
		"the idempotency key could not be checked; an earlier request with it may have run")
	return failed(failure.WithRetryAfter(c.settings.RetryAfter).WithCause(cause))
}

func failed(failure *outcome.Failure) Decision { return Decision{Failure: failure} }

func (c *Claims) count(decision Decision) {
	switch {
	case decision.Run:
		c.counters.run.Add(1)
	case decision.Replay != nil:
		c.counters.replayed.Add(1)
	case decision.Failure.Outcome == outcome.NotRun:
		c.counters.refused.Add(1)
	default:
		c.counters.unknown.Add(1)
	}
}
