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
	// dropBatch and dropBatches bound the rows that one compaction drops.
	dropBatch   = 64
	dropBatches = 16
	// keptObjects is how many older snapshots stay for slow readers.
	keptObjects = 2
)

// ObjectDeleter is implemented by object stores that can delete. Without it old
// snapshots stay, one for each Options.CompactAfter changes.
type ObjectDeleter interface {
	Delete(ctx context.Context, name string) error
}

// Compact writes a snapshot to the object store once enough changes have come,
// and drops rows that a snapshot holds. The holder of the lease calls it; two
// callers at once, or one that was paused for long, do no harm.
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

// writeSnapshot stores the snapshot in force and moves the pointer to it.
func (s *Store) writeSnapshot(ctx context.Context, old snapshotPointer) (snapshotPointer, error) {
	object, err := encodeSnapshot(s.Current())
	if err != nil {
		return old, err
	}
	// A lost answer needs no settling: the object's name stands for its content.
	if err := s.options.Objects.Put(ctx, object.name, object.body); err != nil {
		return old, errors.Wrapf(err, "put %s", object.name)
	}
	pointer := old.moved(object)
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

func (p snapshotPointer) moved(object snapshotObject) snapshotPointer {
	next := snapshotPointer{Version: object.version, Object: object.name, Digest: object.digest}
	if p.Object != "" {
		next.Previous = append([]string{p.Object}, p.Previous...)
		next.Previous = next.Previous[:min(len(next.Previous), keptObjects)]
	}
	return next
}

// commitPointer fails on a lost answer as well: the next compaction reads the
// pointer as it then is.
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

// deleteObjects removes what the new pointer no longer lists. A failure leaves an
// object behind, which costs its space and nothing else.
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

// dropRows drops rows that are older than the snapshot by more than what is
// retained for peers and for lookups.
func (s *Store) dropRows(ctx context.Context, pointer snapshotPointer) error {
	if pointer.Version <= s.options.RetainChanges {
		return nil
	}
	end := changeKey(pointer.Version - s.options.RetainChanges + 1)
	verified := false
	for range dropBatches {
		rows, err := s.options.Table.Scan(ctx, changeKey(0), end, dropBatch)
		if err != nil {
			return errors.Wrap(err, "find rows to drop")
		}
		if len(rows) == 0 {
			return nil
		}
		if !verified {
			// A snapshot that can't be read back would leave its changes nowhere.
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

func (s *Store) drop(ctx context.Context, rows []platform.Row) error {
	// Rows of changes are never written again, so a drop that comes late drops what
	// is gone; condition and resolver let the client find out what became of it.
	txn := platform.Txn{
		ID:         uuid.NewString(),
		Conditions: []platform.Condition{{Key: rows[0].Key, Revision: rows[0].Revision}},
		Resolver:   droppedRow(rows[0].Key),
	}
	for _, row := range rows {
		txn.Writes = append(txn.Writes, platform.Write{Key: row.Key, Delete: true})
	}
	return errors.Wrap(s.options.Table.Commit(ctx, txn), "drop rows")
}

// droppedRow is the resolver of a drop: a row that is gone was dropped, by this
// transaction or by another one to the same effect.
func droppedRow(key string) platform.Resolver {
	return func(rows []platform.Row) platform.Resolution {
		row, err := rowOf(rows, key)
		if err != nil || row.Revision != 0 {
			return platform.ResolutionUnknown
		}
		return platform.ResolutionCommitted
	}
}
