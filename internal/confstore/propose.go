package confstore

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/platform"
)

// errLostRace is the error of an attempt that wrote nothing because another change was
// committed first.
var errLostRace = errors.New("another change came first")

// Propose validates and commits one change and puts it in force on this VM. An empty id
// is replaced by a random one.
//
// It returns a *config.ValidationError, a *ConflictError, an *IDReusedError or a
// *NotWrittenError if nothing was written, and a *PendingError if that could not be
// determined.
func (s *Store) Propose(ctx context.Context, p Proposal) (config.Change, error) {
	if p.ID == "" {
		p.ID = uuid.NewString()
	}
	if len(p.Value) > MaxValueBytes {
		return config.Change{}, tooLarge(p)
	}
	change, findings := config.Canonical(p.change())
	if len(findings) > 0 {
		return config.Change{}, &config.ValidationError{Findings: findings}
	}
	pr := &proposer{store: s, proposal: p, change: change}
	return pr.run(ctx)
}

// tooLarge returns the error for a proposal whose value is larger than MaxValueBytes.
func tooLarge(p Proposal) error {
	return &config.ValidationError{Findings: []config.Finding{{
		Path:    string(p.Kind) + "." + p.Name,
		Problem: "is too large",
		Allowed: "64 KiB as JSON",
	}}}
}

// transaction returns the attempt that writes the change and the head row. newest is the
// current head, and the change has the version after it.
func (s *Store) transaction(change config.Change, newest head) (attempt, error) {
	row, err := json.Marshal(change)
	if err != nil {
		return attempt{}, errors.Wrap(err, "encode the change")
	}
	newHead, err := json.Marshal(head{Version: change.Version, ChangeID: change.ID})
	if err != nil {
		return attempt{}, errors.Wrap(err, "encode the head")
	}
	conditions := []platform.Condition{
		// Without this condition a delayed transaction would set the head to an older
		// version.
		{Key: headKey, Revision: newest.rowRevision},
		// Without this condition, after the head row was restored from an older copy, a
		// new change would overwrite one that is in force on VMs.
		{Key: changeKey(change.Version)},
	}
	if s.hooks.conditions != nil {
		conditions = s.hooks.conditions(conditions)
	}
	return attempt{
		version:      change.Version,
		headRevision: newest.rowRevision,
		txn: platform.Txn{
			// The change's id can't be used here. The client treats rows with the
			// transaction's id as proof that the transaction was applied, but another VM
			// may write a change with the same id and another value.
			ID:         uuid.NewString(),
			Conditions: conditions,
			Resolver:   rowWrittenResolver(changeKey(change.Version)),
			Writes:     []platform.Write{{Key: changeKey(change.Version), Value: row}, {Key: headKey, Value: newHead}},
		},
	}, nil
}

// rowWrittenResolver returns the resolver of a proposal. If another transaction wrote the
// row of the version, this one was refused, as the row is never written again.
func rowWrittenResolver(key string) platform.Resolver {
	return func(rows []platform.Row) platform.Resolution {
		row, err := rowOf(rows, key)
		if err != nil || row.Revision == 0 {
			return platform.ResolutionUnknown
		}
		return platform.ResolutionRefused
	}
}
