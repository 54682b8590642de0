package resilient

import (
	"context"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/sleep"
)

// Commit implements platform.Table. The transaction needs a condition on the row
// that it writes first. The error is ambiguous only when what became of the
// transaction could not be learnt before the context ended, or its rows were
// overwritten and it has no Resolver that tells.
func (c *Client) Commit(ctx context.Context, txn platform.Txn) error {
	if err := txn.Validate(); err != nil {
		return err
	}
	ctx, cancel := c.bounded(ctx)
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

// send sends the transaction once.
func (c *Client) send(ctx context.Context, txn platform.Txn) error {
	if !takeTurn(ctx) {
		if err := c.spend(ctx, c.writes, c.table, "commit"); err != nil {
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

// resolve finds out what became of a transaction that may have been applied, or may
// be applied yet.
func (c *Client) resolve(ctx context.Context, txn platform.Txn, cause error) error {
	pause := c.newPause()
	lost := &platform.AmbiguousError{TxnID: txn.ID, Cause: cause}
	for ctx.Err() == nil {
		rows, err := c.Get(ctx, txn.Keys()...)
		if err == nil {
			lost.Rows = rows
			if !conditionsHold(txn, rows) {
				return settle(txn, rows, lost)
			}
			err = c.resend(ctx, txn)
			if err == nil {
				return nil
			}
		}
		lost.Cause = err
		if !sleep.For(ctx, pause.NextBackOff()) {
			break
		}
	}
	return lost
}

// resend sends the same transaction again. Whether the first copy is lost or late,
// the condition on a row that the transaction itself writes lets only one of the two
// take effect. A refusal here may be the doing of the first copy, so only success is
// conclusive; resolve reads the rows again for the rest.
func (c *Client) resend(ctx context.Context, txn platform.Txn) error {
	c.counters.resent.Add(1)
	return c.send(ctx, txn)
}

// settle decides about a transaction whose conditions no longer hold.
func settle(txn platform.Txn, rows []platform.Row, lost error) error {
	for _, row := range rows {
		if row.TxnID == txn.ID {
			return nil
		}
	}
	verdict := platform.ResolutionUnknown
	if txn.Resolver != nil {
		verdict = txn.Resolver(rows)
	}
	switch verdict {
	case platform.ResolutionCommitted:
		return nil
	case platform.ResolutionRefused:
		return &platform.RefusedError{Rows: failedRows(txn, rows)}
	default:
		return lost
	}
}

func conditionsHold(txn platform.Txn, rows []platform.Row) bool {
	return len(failedRows(txn, rows)) == 0
}

func failedRows(txn platform.Txn, rows []platform.Row) []platform.Row {
	present := make(map[string]platform.Row, len(rows))
	for _, row := range rows {
		present[row.Key] = row
	}
	var failed []platform.Row
	for _, condition := range txn.Conditions {
		row := present[condition.Key]
		if row.Revision != condition.Revision {
			failed = append(failed, row)
		}
	}
	return failed
}

func (c *Client) newPause() *backoff.ExponentialBackOff {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = c.settings.RetryPause
	pause.MaxInterval = c.settings.MaxRetryPause
	return pause
}
