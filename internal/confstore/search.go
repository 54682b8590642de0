package confstore

import (
	"bytes"
	"context"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/config"
)

// search searches the table for a change with the proposal's id and returns nil if there
// is none. Such a change exists if the proposal was committed through another VM, the
// response was lost, and the author repeats the proposal. Without the search it would
// conflict with the author's own change.
func (p *proposer) search(ctx context.Context) (*config.Change, error) {
	known, err := p.store.findInTable(ctx, p.proposal.ID)
	var unknown *UnknownChangeError
	switch {
	case err == nil:
		return &known, nil
	case errors.As(err, &unknown):
		return nil, nil
	}
	return nil, err
}

// searchBeforeCreate searches the table for a proposal that creates an entity, so that a
// late repetition does not create an entity that was deleted since. Other proposals need
// no search, as the revision that they require never recurs. The search is slow. It is
// done before the head is read, and only once as long as all changes that are committed
// afterwards are in this VM's memory.
func (p *proposer) searchBeforeCreate(ctx context.Context) (*config.Change, error) {
	if !p.needsSearch() {
		return nil, nil
	}
	at := p.store.Current().Version
	known, err := p.search(ctx)
	p.searched, p.searchedAt = err == nil, at
	return known, err
}

// needsSearch reports whether the proposal creates an entity and changes may exist that
// were neither searched nor are in memory.
func (p *proposer) needsSearch() bool {
	creates := p.proposal.IfRevision == 0
	return creates && !(p.searched && p.store.keepsChangesAfter(p.searchedAt))
}

// matchSearchResult returns the result of a search that found a change or failed.
func (p *proposer) matchSearchResult(known *config.Change, err error) (config.Change, error) {
	if err != nil {
		return config.Change{}, backoff.Permanent(err)
	}
	return p.matchKnown(*known)
}

// matchKnown returns the committed change that has the proposal's id, or an
// *IDReusedError if it is a different change.
func (p *proposer) matchKnown(known config.Change) (config.Change, error) {
	p.unresolved = nil
	sameValue := bytes.Equal(known.Value, p.change.Value) || known.IsDelete() && p.change.IsDelete()
	if known.Kind != p.change.Kind || known.Name != p.change.Name || !sameValue {
		return config.Change{}, backoff.Permanent(&IDReusedError{ID: known.ID, Version: known.Version})
	}
	return known, nil
}
