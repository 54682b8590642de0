package resilient

import (
	"context"
	"slices"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/sleep"
)

// Commit implements platform.Table. The transaction needs a condition on the row of its
// first write. The error is ambiguous only when the outcome of the transaction could not
// be determined before the context ended, or when its rows were overwritten and it has no
// Resolver that determines the outcome.
func (c *Client) Commit(ctx context.Context, txn platform.Txn) error {
	if err := txn.Validate(); err != nil {
		return err
	}
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	err := c.send(ctx, txn)
	if !errors.Is(err, platform.ErrAmbiguous) {
		return err
	}
	c.counters.ambiguous.Add(1)
	resolved := c.resolve(ctx, txn, err)
	if errors.Is(resolved, platform.ErrAmbiguous) {
		c.counters.unresolved.Add(1)
	} else {
		c.counters.resolved.Add(1)
	}
	return resolved
}

// send sends the transaction once, with the write reserved in the context if there is one.
func (c *Client) send(ctx context.Context, txn platform.Txn) error {
	if !useReservation(ctx) {
		if err := c.acquire(ctx, c.writes, c.table, "commit"); err != nil {
			return err
		}
	}
	err := c.table.do(ctx, "commit", func(ctx context.Context) error {
		c.counters.commits.Add(1)
		return c.rawTable.Commit(ctx, txn)
	})
	if errors.Is(err, platform.ErrRefused) {
		c.counters.refused.Add(1)
	}
	return err
}

// resolve determines the outcome of a transaction that may have been applied or may still
// be applied.
func (c *Client) resolve(ctx context.Context, txn platform.Txn, cause error) error {
	backOff := c.newBackOff()
	ambiguous := &platform.AmbiguousError{TxnID: txn.ID, Cause: cause}
	for ctx.Err() == nil {
		rows, err := c.Get(ctx, txn.Keys()...)
		if err == nil {
			ambiguous.Rows = rows
			if !conditionsHold(txn, rows) {
				return resolveFromRows(txn, rows, ambiguous)
			}
			if readInLaterEra(txn, rows) {
				ambiguous.Cause = errLaterEra
				return ambiguous
			}
			err = c.resend(ctx, txn)
			if err == nil {
				return nil
			}
		}
		ambiguous.Cause = err
		if !sleep.For(ctx, backOff.NextBackOff()) {
			break
		}
	}
	return ambiguous
}

// resend sends the same transaction again. Whether the first copy is lost or delayed, the
// condition on a row that the transaction itself writes allows only one of the two to take
// effect. A refusal may be caused by the first copy, so only success is conclusive; for
// all other results resolve reads the rows again.
func (c *Client) resend(ctx context.Context, txn platform.Txn) error {
	c.counters.resent.Add(1)
	return c.send(ctx, txn)
}

// resolveFromRows determines the outcome of a transaction whose conditions no longer hold.
// It returns ambiguous when the rows do not show it.
func resolveFromRows(txn platform.Txn, rows []platform.Row, ambiguous error) error {
	for _, row := range rows {
		if row.TxnID == txn.ID {
			return nil
		}
	}
	resolution := platform.ResolutionUnknown
	if txn.Resolver != nil {
		resolution = txn.Resolver(rows)
	}
	switch resolution {
	case platform.ResolutionCommitted:
		return nil
	case platform.ResolutionRefused:
		return &platform.RefusedError{Rows: failedRows(txn, rows)}
	default:
		return ambiguous
	}
}

// errLaterEra is the cause of an ambiguous outcome after the table came back from an older copy. What the
// conditions hold for now need not be what the writer has read, so the transaction is not sent again.
var errLaterEra = errors.New("the table has come back from an older copy since the conditions were read")

func readInLaterEra(txn platform.Txn, rows []platform.Row) bool {
	return txn.Era > 0 && slices.ContainsFunc(rows, func(r platform.Row) bool { return r.Era > txn.Era })
}

func conditionsHold(txn platform.Txn, rows []platform.Row) bool {
	return len(failedRows(txn, rows)) == 0
}

func failedRows(txn platform.Txn, rows []platform.Row) []platform.Row {
	current := make(map[string]platform.Row, len(rows))
	for _, row := range rows {
		current[row.Key] = row
	}
	var failed []platform.Row
	for _, condition := range txn.Conditions {
		row := current[condition.Key]
		if row.Revision != condition.Revision {
			failed = append(failed, row)
		}
	}
	return failed
}

func (c *Client) newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = c.settings.RetryPause
	b.MaxInterval = c.settings.MaxRetryPause
	return b
}
