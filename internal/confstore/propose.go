package confstore

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/platform"
)

// errRaced marks an attempt that lost against another writer and wrote nothing.
var errRaced = errors.New("another change came first")

// Propose validates and commits one change and puts it in force on this VM.
//
// It returns a *config.ValidationError, a *ConflictError, an *IDReusedError or a
// *NotWrittenError when nothing was written, and a *PendingError when that could
// not be found out.
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
	w := &writer{store: s, proposal: p, change: change}
	return w.run(ctx)
}

func tooLarge(p Proposal) error {
	return &config.ValidationError{Findings: []config.Finding{{
		Path:    string(p.Kind) + "." + p.Name,
		Problem: "is too large",
		Allowed: "64 KiB as JSON",
	}}}
}

// transaction returns the attempt that writes the change as the next version.
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
		// Without it a transaction that was delayed would take the head back.
		{Key: headKey, Revision: newest.rowRevision},
		// Without it a head that was restored from an older copy would let a new
		// change overwrite one that VMs have in force.
		{Key: changeKey(change.Version)},
	}
	if s.hooks.conditions != nil {
		conditions = s.hooks.conditions(conditions)
	}
	return attempt{
		version:      change.Version,
		headRevision: newest.rowRevision,
		txn: platform.Txn{
			// Not the change's id: a client takes rows with the transaction's id for
			// proof that it was written, and another VM may write that change's id with
			// another value.
			ID:         uuid.NewString(),
			Conditions: conditions,
			Resolver:   writtenRow(changeKey(change.Version)),
			Writes:     []platform.Write{{Key: changeKey(change.Version), Value: row}, {Key: headKey, Value: newHead}},
		},
	}, nil
}

// writtenRow is the resolver of a proposal: a row of the version that another
// transaction wrote proves that this one was refused, as it is never written again.
func writtenRow(key string) platform.Resolver {
	return func(rows []platform.Row) platform.Resolution {
		row, err := rowOf(rows, key)
		if err != nil || row.Revision == 0 {
			return platform.ResolutionUnknown
		}
		return platform.ResolutionRefused
	}
}
