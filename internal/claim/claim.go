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

// Claim claims the key for the request. If it can't, the decision holds the kept
// answer or the failure that ends the request without a dispatch. digest is the
// digest of the request's body and expires is the request's deadline. Claim returns
// by that deadline and within Settings.Timeout. It returns immediately while the table
// is known to be unavailable.
func (c *Claims) Claim(ctx context.Context, k Key, requestID string, digest [32]byte, expires time.Time) Decision {
	ctx, cancel := c.withClaimTimeout(ctx, expires)
	defer cancel()
	decision := c.decide(ctx, k, requestID, digest, expires)
	c.count(decision)
	return decision
}

// withClaimTimeout returns a context in the urgent rate class that ends after
// Settings.Timeout, or at expires if that is earlier.
func (c *Claims) withClaimTimeout(ctx context.Context, expires time.Time) (context.Context, context.CancelFunc) {
	deadline := time.Now().Add(c.settings.Timeout)
	if expires.Before(deadline) {
		deadline = expires
	}
	return context.WithDeadline(platform.WithRateClass(ctx, platform.RateClassUrgent), deadline)
}

// decide writes the claim row. If a claim of the key exists, it decides by that.
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
		c.addOwned(requestID, ownedClaim{key: k, keepUntil: record.KeepUntil})
		return Decision{Run: true}
	}
	var refused *platform.RefusedError
	if errors.As(err, &refused) && len(refused.Rows) == 1 {
		return c.decideByExisting(ctx, k, digest, refused.Rows[0])
	}
	return c.storeFailed(err)
}

// decideByExisting decides by row, the claim of another request with the same key.
func (c *Claims) decideByExisting(ctx context.Context, k Key, digest [32]byte, row platform.Row) Decision {
	var record claimRecord
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return c.storeFailed(err)
	}
	if !bytes.Equal(record.Digest, digest[:]) {
		// The claim row prevents this body from running under the key on any VM.
		return failWith(outcome.Refuse(outcome.ReasonKeyReused, "the idempotency key was used with another request body"))
	}
	rows, err := c.table.Get(ctx, k.endRow())
	if err != nil {
		return c.storeFailed(err)
	}
	if len(rows) != 1 || rows[0].Revision == 0 {
		return c.decideUnended(record)
	}
	var end endRecord
	if err := json.Unmarshal(rows[0].Value, &end); err != nil {
		return c.storeFailed(err)
	}
	// An end row that was written after its claim row was swept belongs to an earlier
	// request, not to the request that holds the key now.
	if end.RequestID != record.RequestID {
		return c.decideUnended(record)
	}
	return decideByEnd(end)
}

// decideUnended decides by a claim that has no end row. After the claim's deadline
// this means that the owner crashed or could not write the end row. The request may
// have run, so the key stays spent.
func (c *Claims) decideUnended(record claimRecord) Decision {
	if time.Now().After(record.Deadline) {
		return failWith(outcome.Uncertain(outcome.ReasonKeySpent,
			"an earlier request with this key ended without a trace; it may have run"))
	}
	failure := outcome.Uncertain(outcome.ReasonKeyInProgress, "an earlier request with this key is in progress")
	return failWith(failure.WithRetryAfter(c.settings.RetryAfter))
}

// decideByEnd decides by the recorded end of the request that holds the key.
func decideByEnd(end endRecord) Decision {
	switch {
	case end.State == endComplete && end.Answer != nil:
		return Decision{Replay: end.Answer}
	case end.State == endComplete:
		return failWith(outcome.Uncertain(outcome.ReasonKeySpent,
			"an earlier request with this key completed; its answer was too large to keep"))
	case end.State == endNotRun:
		return failWith(outcome.Refuse(outcome.ReasonKeySpent,
			"an earlier request with this key was refused and did not run; use a new key"))
	default:
		return failWith(outcome.Uncertain(outcome.ReasonKeySpent,
			"an earlier request with this key ended without its answer; it may have run"))
	}
}

// storeFailed returns the decision for a request whose claim could not be written or
// read. The outcome is unknown and never not-run, as an earlier request with the key
// may have run on another VM.
func (c *Claims) storeFailed(cause error) Decision {
	failure := outcome.Uncertain(outcome.ReasonStoreUnavailable,
		"the idempotency key could not be checked; an earlier request with it may have run")
	return failWith(failure.WithRetryAfter(c.settings.RetryAfter).WithCause(cause))
}

// failWith returns the decision that ends the request with the failure.
func failWith(failure *outcome.Failure) Decision { return Decision{Failure: failure} }

// count counts the decision.
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
