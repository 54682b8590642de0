package confstore

import (
	"context"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/config"
)

// writer carries one proposal to its end. One goroutine uses it.
type writer struct {
	store    *Store
	proposal Proposal
	change   config.Change
	// undecided is the transaction whose answer was lost, nil when there is none.
	undecided *attempt
	// searched says that the table was searched for the id when searchedAt was in
	// force here.
	searched   bool
	searchedAt uint64
}

func (w *writer) run(ctx context.Context) (config.Change, error) {
	bounded, cancel := context.WithTimeout(ctx, w.store.options.ProposeTimeout)
	defer cancel()
	change, err := w.retry(bounded, func() (config.Change, error) { return w.step(bounded) })
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
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), w.store.options.ResolveTimeout)
	defer cancel()
	change, err := w.retry(bounded, func() (config.Change, error) {
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
	if known, err := w.searchForCreation(ctx); err != nil || known != nil {
		return w.sameOr(known, err)
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
		return config.Change{}, errRaced // peers were faster
	}
	if refusal := w.check(snapshot); refusal != nil {
		known, err := w.search(ctx)
		if err != nil || known != nil {
			return w.sameOr(known, err)
		}
		return config.Change{}, backoff.Permanent(refusal)
	}
	if w.mustSearch() {
		return config.Change{}, errRaced // a snapshot took the place of what memory had
	}
	return w.commit(ctx, newest)
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
