package confstore

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"geraniumcroft/internal/platform"
)

const (
	// dropBatchRows is the maximum number of rows that one transaction drops, and
	// maxDropBatches the maximum number of such transactions in one compaction.
	dropBatchRows  = 64
	maxDropBatches = 16
	// maxPreviousObjects is the number of older snapshots that are kept for slow readers.
	maxPreviousObjects = 2
)

// ObjectDeleter is implemented by object stores that can delete objects. In other stores
// old snapshots remain, one for each Options.CompactAfter changes.
type ObjectDeleter interface {
	// Delete deletes the object with the name.
	Delete(ctx context.Context, name string) error
}

// Compact writes a snapshot to the object store after Options.CompactAfter changes, and
// drops rows whose changes the snapshot contains. The holder of a lease calls it. It is
// safe if two VMs call it concurrently, or if the caller was paused for long.
func (s *Store) Compact(ctx context.Context) error {
	pointer, err := s.readPointer(ctx)
	if err != nil {
		return err
	}
	if s.Current().Version >= pointer.Version+s.options.CompactAfter {
		if pointer, err = s.writeSnapshot(ctx, pointer); err != nil {
			return err
		}
	}
	return s.dropRows(ctx, pointer)
}

// writeSnapshot stores the snapshot in force, makes the pointer row refer to it and
// returns the new pointer.
func (s *Store) writeSnapshot(ctx context.Context, old snapshotPointer) (snapshotPointer, error) {
	object, err := encodeSnapshot(s.Current())
	if err != nil {
		return old, err
	}
	// A lost response need not be resolved, as the object's name identifies its content.
	if err := s.options.Objects.Put(ctx, object.name, object.body); err != nil {
		return old, errors.Wrapf(err, "put %s", object.name)
	}
	pointer := old.successor(object)
	if _, err := s.fetch(ctx, pointer); err != nil {
		return old, errors.Wrap(err, "read the snapshot back")
	}
	if err := s.commitPointer(ctx, old, pointer); err != nil {
		return old, err
	}
	s.options.Logger.Info("configuration compacted",
		zap.Uint64("version", pointer.Version), zap.Int("bytes", len(object.body)))
	s.deleteObjects(ctx, old, pointer)
	return s.readPointer(ctx)
}

// successor returns the pointer that refers to the object. It lists the object of p as
// the first of the previous ones.
func (p snapshotPointer) successor(object snapshotObject) snapshotPointer {
	next := snapshotPointer{Version: object.version, Object: object.name, Digest: object.digest}
	if p.Object != "" {
		next.Previous = append([]string{p.Object}, p.Previous...)
		next.Previous = next.Previous[:min(len(next.Previous), maxPreviousObjects)]
	}
	return next
}

// commitPointer writes the pointer row on the condition that it is still the old one. It
// returns an error also for a lost response: the next compaction reads the pointer
// again.
func (s *Store) commitPointer(ctx context.Context, old, next snapshotPointer) error {
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode the pointer")
	}
	err = s.options.Table.Commit(ctx, platform.Txn{
		ID:         uuid.NewString(),
		Conditions: []platform.Condition{{Key: snapshotKey, Revision: old.rowRevision}},
		Writes:     []platform.Write{{Key: snapshotKey, Value: value}},
	})
	return errors.Wrap(err, "move the pointer to the snapshot")
}

// deleteObjects deletes the objects that the new pointer no longer lists. If that fails,
// an object remains, which only takes up space.
func (s *Store) deleteObjects(ctx context.Context, old, next snapshotPointer) {
	deleter, ok := s.options.Objects.(ObjectDeleter)
	if !ok {
		return
	}
	listed := map[string]bool{next.Object: true}
	for _, name := range next.Previous {
		listed[name] = true
	}
	for _, name := range old.Previous {
		if listed[name] {
			continue
		}
		if err := deleter.Delete(ctx, name); err != nil {
			s.options.Logger.Warn("old snapshot not deleted", zap.String("object", name), zap.Error(err))
		}
	}
}

// dropRows drops the rows of changes that the snapshot contains, except for the newest
// Options.RetainChanges of them, which are retained for peers and for lookups.
func (s *Store) dropRows(ctx context.Context, pointer snapshotPointer) error {
	if pointer.Version <= s.options.RetainChanges {
		return nil
	}
	end := changeKey(pointer.Version - s.options.RetainChanges + 1)
	verified := false
	for range maxDropBatches {
		rows, err := s.options.Table.Scan(ctx, changeKey(0), end, dropBatchRows)
		if err != nil {
			return errors.Wrap(err, "find rows to drop")
		}
		if len(rows) == 0 {
			return nil
		}
		if !verified {
			// If the snapshot could not be read, its changes would be lost with the rows.
			if _, err := s.fetch(ctx, pointer); err != nil {
				return errors.Wrap(err, "verify the snapshot before dropping rows")
			}
			verified = true
		}
		if err := s.drop(ctx, rows); err != nil {
			return err
		}
	}
	return nil
}

// drop deletes the rows, which must not be empty, in one transaction.
func (s *Store) drop(ctx context.Context, rows []platform.Row) error {
	// Rows of changes are never written again, so a drop that is applied late has no
	// effect. The condition and the resolver let the client resolve a lost response.
	txn := platform.Txn{
		ID:         uuid.NewString(),
		Conditions: []platform.Condition{{Key: rows[0].Key, Revision: rows[0].Revision}},
		Resolver:   rowDroppedResolver(rows[0].Key),
	}
	for _, row := range rows {
		txn.Writes = append(txn.Writes, platform.Write{Key: row.Key, Delete: true})
	}
	return errors.Wrap(s.options.Table.Commit(ctx, txn), "drop rows")
}

// rowDroppedResolver returns the resolver of a drop. A row that no longer exists was
// dropped by this transaction, or by another one with the same effect.
func rowDroppedResolver(key string) platform.Resolver {
	return func(rows []platform.Row) platform.Resolution {
		row, err := rowOf(rows, key)
		if err != nil || row.Revision != 0 {
			return platform.ResolutionUnknown
		}
		return platform.ResolutionCommitted
	}
}
