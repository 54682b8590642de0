package confstore

import (
	"bytes"
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/platform"
)

// writer carries one proposal to its end. One goroutine uses it.
type writer struct {
	store    *Store
	proposal Proposal
	change   config.Change
	// undecided is the transaction whose answer was lost, nil when there is none.
	undecided *attempt
}

func (w *writer) run(ctx context.Context) (config.Change, error) {
	bounded, cancel := context.WithTimeout(ctx, w.store.options.ProposeTimeout)
	defer cancel()
	change, err := retry(bounded, func() (config.Change, error) { return w.step(bounded) })
	if err == nil {
		return change, nil
	}
	if w.undecided != nil {
		return w.settle(ctx, err)
	}
	return config.Change{}, w.orEarlier(w.failure(err))
}

// orEarlier keeps a proposal that wrote nothing from being told so while an earlier
// one with the same id is still pending here: the change may yet take effect.
func (w *writer) orEarlier(err error) error {
	var notWritten *NotWrittenError
	earlier, pending := w.store.pending.get(w.proposal.ID)
	if pending && errors.As(err, &notWritten) {
		return &PendingError{ID: w.proposal.ID, Version: earlier.version, Cause: err}
	}
	return err
}

// settle goes on reading back for a while after the proposal's time is over,
// also when the author has gone: what was sent has to be known.
func (w *writer) settle(ctx context.Context, cause error) (config.Change, error) {
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), w.store.options.SettleTimeout)
	defer cancel()
	change, err := retry(bounded, func() (config.Change, error) {
		found, err := w.decide(bounded)
		if w.undecided == nil && err != nil {
			return found, backoff.Permanent(err)
		}
		return found, err
	})
	switch {
	case err == nil:
		return change, nil
	case w.undecided == nil:
		return config.Change{}, w.failure(cause)
	}
	w.store.pending.put(w.proposal.ID, *w.undecided)
	return config.Change{}, &PendingError{ID: w.proposal.ID, Version: w.undecided.version, Cause: cause}
}

// failure types an error after which nothing is in the table.
func (w *writer) failure(err error) error {
	var conflict *ConflictError
	var invalid *config.ValidationError
	var reused *IDReusedError
	if errors.As(err, &conflict) || errors.As(err, &invalid) || errors.As(err, &reused) {
		return err
	}
	return &NotWrittenError{ID: w.proposal.ID, Cause: err}
}

// step is one attempt: settle the last one, catch up, check, commit.
func (w *writer) step(ctx context.Context) (config.Change, error) {
	if w.undecided != nil {
		change, err := w.decide(ctx)
		if err == nil || w.undecided != nil {
			return change, err
		}
	}
	newest, err := w.catchUp(ctx)
	if err != nil {
		return config.Change{}, err
	}
	if known, ok := w.store.recentWithID(w.proposal.ID); ok {
		return w.same(known)
	}
	snapshot := w.store.Current()
	if snapshot.Version != newest.Version {
		return config.Change{}, errRaced
	}
	refusal := w.check(snapshot)
	if refusal != nil || w.proposal.IfRevision == 0 {
		if known, err := w.writtenBefore(ctx); err != nil || known != nil {
			return w.sameOr(known, err)
		}
	}
	if refusal != nil {
		return config.Change{}, backoff.Permanent(refusal)
	}
	return w.commit(ctx, newest)
}

// catchUp fails for good when the table can't be read: nothing was written, and
// the author is told so at once instead of after the whole of the timeout.
func (w *writer) catchUp(ctx context.Context) (head, error) {
	before := w.store.Current().Version
	newest, err := w.store.readHead(ctx)
	if err != nil {
		return head{}, backoff.Permanent(err)
	}
	if newest.Version < before {
		return head{}, backoff.Permanent(&HistoryLostError{Have: before, Table: newest.Version})
	}
	if err := w.store.catchUp(ctx, newest.Version); err != nil {
		return head{}, backoff.Permanent(err)
	}
	if err := w.store.checkHead(newest); err != nil {
		return head{}, backoff.Permanent(err)
	}
	return newest, nil
}

func (w *writer) check(snapshot *config.Snapshot) error {
	_, revision := snapshot.Entity(w.proposal.Kind, w.proposal.Name)
	if revision != w.proposal.IfRevision {
		return &ConflictError{
			Kind:     w.proposal.Kind,
			Name:     w.proposal.Name,
			Current:  entityJSON(snapshot, w.proposal.Kind, w.proposal.Name),
			Revision: revision,
			Wanted:   w.proposal.IfRevision,
		}
	}
	if findings := config.Validate(w.change, snapshot); len(findings) > 0 {
		return &config.ValidationError{Findings: findings}
	}
	return nil
}

// writtenBefore looks in the table for this very proposal, nil when it is not
// there: it was committed through another VM, and its author asks again for a lost
// answer. A refusal would then be a conflict of the author with itself, and a
// creation would bring back what was deleted since. Other changes are safe without
// the look, as the revision that they demand never returns.
func (w *writer) writtenBefore(ctx context.Context) (*config.Change, error) {
	known, err := w.store.findInTable(ctx, w.proposal.ID)
	var unknown *UnknownChangeError
	switch {
	case err == nil:
		return &known, nil
	case errors.As(err, &unknown):
		return nil, nil
	}
	return nil, err
}

func (w *writer) sameOr(known *config.Change, err error) (config.Change, error) {
	if err != nil {
		return config.Change{}, backoff.Permanent(err)
	}
	return w.same(*known)
}

func (w *writer) same(known config.Change) (config.Change, error) {
	w.undecided = nil
	sameValue := bytes.Equal(known.Value, w.change.Value) || known.IsDelete() && w.change.IsDelete()
	if known.Kind != w.change.Kind || known.Name != w.change.Name || !sameValue {
		return config.Change{}, backoff.Permanent(&IDReusedError{ID: known.ID, Version: known.Version})
	}
	return known, nil
}

func (w *writer) commit(ctx context.Context, newest head) (config.Change, error) {
	change := w.change
	change.Version = newest.Version + 1
	change.Time = time.Now().UTC()
	next, err := w.store.transaction(change, newest)
	if err != nil {
		return config.Change{}, backoff.Permanent(err)
	}
	return w.send(ctx, next, change)
}

// send commits an attempt. Only two errors say that nothing was written; every
// other one, of whatever type, leaves the attempt undecided.
func (w *writer) send(ctx context.Context, a attempt, change config.Change) (config.Change, error) {
	resent := w.undecided != nil
	w.undecided = &a
	err := w.store.options.Table.Commit(ctx, a.txn)
	switch {
	case err == nil:
		return w.committed(change)
	case errors.Is(err, platform.ErrRefused) && !resent:
		w.undecided = nil
		return config.Change{}, errRaced
	case errors.Is(err, platform.ErrUnavailable) && !resent:
		w.undecided = nil
		return config.Change{}, backoff.Permanent(err)
	}
	return config.Change{}, err
}

func (w *writer) committed(change config.Change) (config.Change, error) {
	w.undecided = nil
	// The change stands in the table whatever comes of it here: a VM that cannot
	// apply it logs so and is named as missing by Wait.
	_, _ = w.store.ApplyChanges([]config.Change{change})
	return change, nil
}
