package confstore

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/platform"
)

// commit sends the change as the version after the newest one.
func (p *proposer) commit(ctx context.Context, newest head) (config.Change, error) {
	change := p.change
	change.Version = newest.Version + 1
	change.Time = time.Now().UTC()
	next, err := p.store.transaction(change, newest)
	if err != nil {
		return config.Change{}, backoff.Permanent(err)
	}
	return p.send(ctx, next, change)
}

// send commits an attempt. The attempt remains unresolved after any error, with two
// exceptions: platform.ErrRefused and platform.ErrUnavailable for the first copy of the
// transaction mean that nothing was written. For a further copy they say nothing about
// the copies before.
func (p *proposer) send(ctx context.Context, a attempt, change config.Change) (config.Change, error) {
	resent := p.unresolved != nil
	p.unresolved = &a
	err := p.store.options.Table.Commit(ctx, a.txn)
	switch {
	case err == nil:
		return p.committed(change)
	case errors.Is(err, platform.ErrRefused) && !resent:
		p.unresolved = nil
		return config.Change{}, errLostRace
	case errors.Is(err, platform.ErrUnavailable) && !resent:
		p.unresolved = nil
		return config.Change{}, backoff.Permanent(err)
	}
	return config.Change{}, err
}

// committed puts the committed change in force on this VM.
func (p *proposer) committed(change config.Change) (config.Change, error) {
	p.unresolved = nil
	// The change is committed even if it can't be applied on this VM. In that case
	// ApplyChanges logs the error and Wait reports this VM as missing.
	_, _ = p.store.ApplyChanges([]config.Change{change})
	return change, nil
}
