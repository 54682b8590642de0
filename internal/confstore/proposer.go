package confstore

import (
	"context"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/config"
)

// proposer commits one proposal. It is not safe for concurrent use.
type proposer struct {
	store    *Store
	proposal Proposal
	change   config.Change
	// unresolved is the attempt whose result is unknown, nil if there is none.
	unresolved *attempt
	// searched is true if the table was searched for the id. searchedAt is the version
	// that was in force before the search.
	searched   bool
	searchedAt uint64
}

// run makes attempts until the change is committed, a permanent error occurs, or
// Options.ProposeTimeout expires.
func (p *proposer) run(ctx context.Context) (config.Change, error) {
	bounded, cancel := context.WithTimeout(ctx, p.store.options.ProposeTimeout)
	defer cancel()
	change, err := p.retry(bounded, func() (config.Change, error) { return p.step(bounded) })
	if err == nil {
		return change, nil
	}
	if p.unresolved != nil {
		return p.resolveAfterEnd(ctx, err)
	}
	return config.Change{}, p.pendingIfEarlier(p.classify(err))
}

// pendingIfEarlier replaces a *NotWrittenError by a *PendingError if an earlier proposal
// with the same id is pending on this VM, since its transaction may still be applied.
func (p *proposer) pendingIfEarlier(err error) error {
	var notWritten *NotWrittenError
	earlier, pending := p.store.pending.get(p.proposal.ID)
	if pending && errors.As(err, &notWritten) {
		return &PendingError{ID: p.proposal.ID, Version: earlier.version, Cause: err}
	}
	return err
}

// resolveAfterEnd continues to resolve the attempt for up to Options.ResolveTimeout after
// the proposal has ended, even if the author has disconnected, so that the result of the
// transaction becomes known. cause is the error that ended the proposal.
func (p *proposer) resolveAfterEnd(ctx context.Context, cause error) (config.Change, error) {
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.store.options.ResolveTimeout)
	defer cancel()
	change, err := p.retry(bounded, func() (config.Change, error) {
		found, err := p.resolve(bounded)
		if p.unresolved == nil && err != nil {
			return found, backoff.Permanent(err)
		}
		return found, err
	})
	switch {
	case err == nil:
		return change, nil
	case p.unresolved == nil:
		return config.Change{}, p.classify(cause)
	}
	p.store.pending.put(p.proposal.ID, *p.unresolved)
	return config.Change{}, &PendingError{ID: p.proposal.ID, Version: p.unresolved.version, Cause: cause}
}

// classify returns the error of a proposal that wrote nothing: err if it has a type that
// Propose documents, otherwise a *NotWrittenError.
func (p *proposer) classify(err error) error {
	var conflict *ConflictError
	var invalid *config.ValidationError
	var reused *IDReusedError
	if errors.As(err, &conflict) || errors.As(err, &invalid) || errors.As(err, &reused) {
		return err
	}
	return &NotWrittenError{ID: p.proposal.ID, Cause: err}
}

// step resolves the previous attempt, catches up with the table, checks the proposal and
// commits it.
func (p *proposer) step(ctx context.Context) (config.Change, error) {
	if p.unresolved != nil {
		change, err := p.resolve(ctx)
		if err == nil || p.unresolved != nil {
			return change, err
		}
	}
	if known, err := p.searchBeforeCreate(ctx); err != nil || known != nil {
		return p.matchSearchResult(known, err)
	}
	newest, err := p.catchUp(ctx)
	if err != nil {
		return config.Change{}, err
	}
	if known, ok := p.store.recentWithID(p.proposal.ID); ok {
		return p.matchKnown(known)
	}
	snapshot := p.store.Current()
	if snapshot.Version != newest.Version {
		return config.Change{}, errLostRace // peers have pushed newer changes
	}
	if refusal := p.check(snapshot); refusal != nil {
		known, err := p.search(ctx)
		if err != nil || known != nil {
			return p.matchSearchResult(known, err)
		}
		return config.Change{}, backoff.Permanent(refusal)
	}
	if p.needsSearch() {
		return config.Change{}, errLostRace // a snapshot replaced the changes in memory
	}
	return p.commit(ctx, newest)
}

// check returns an error if the entity is at another revision or the change is not valid
// for the snapshot.
func (p *proposer) check(snapshot *config.Snapshot) error {
	_, revision := snapshot.Entity(p.proposal.Kind, p.proposal.Name)
	if revision != p.proposal.IfRevision {
		return &ConflictError{
			Kind:     p.proposal.Kind,
			Name:     p.proposal.Name,
			Current:  entityJSON(snapshot, p.proposal.Kind, p.proposal.Name),
			Revision: revision,
			Wanted:   p.proposal.IfRevision,
		}
	}
	if findings := config.Validate(p.change, snapshot); len(findings) > 0 {
		return &config.ValidationError{Findings: findings}
	}
	return nil
}
