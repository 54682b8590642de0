package confstore

import (
	"bytes"
	"context"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/config"
)

// search looks in the table for this very proposal, nil when it is not there: it
// was committed through another VM, and its author asks again for a lost answer. A
// refusal would then be a conflict of the author with itself.
func (w *writer) search(ctx context.Context) (*config.Change, error) {
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

// searchForCreation keeps a creation that is repeated late from bringing back what
// was deleted since. Other changes are safe, as the revision that they demand never
// returns. The search takes long; it comes before the head is read, and once, for
// whatever is committed after it passes through this VM's memory.
func (w *writer) searchForCreation(ctx context.Context) (*config.Change, error) {
	if !w.mustSearch() {
		return nil, nil
	}
	at := w.store.Current().Version
	known, err := w.search(ctx)
	w.searched, w.searchedAt = err == nil, at
	return known, err
}

func (w *writer) mustSearch() bool {
	creates := w.proposal.IfRevision == 0
	return creates && !(w.searched && w.store.remembersAfter(w.searchedAt))
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
