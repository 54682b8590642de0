// Package confstore keeps the history of configuration changes in the platform's
// table and the snapshot that is in force on this VM.
//
// The history has one row a change and a head row with the newest version. A
// proposal commits both in one transaction, on the condition that the head is
// as it was read, so two changes never take the same version and a change is
// never written over one that its author has not seen. The loser of a race reads
// the newer changes, validates again and retries, unless the entity that it
// wants to change was changed meanwhile: then its author gets a *ConflictError.
//
// When the answer to the transaction is lost, the change may have been written,
// now or later. The proposal reads its row back. If the row holds another change,
// the head has moved and the transaction can never apply. If there is no row, the
// same transaction is sent again under the same conditions, so that at most one
// copy applies. What can't be settled in time is a *PendingError, never a failure.
//
// VMs learn of changes from peers, who push them, and from polling the head as
// the last resort. Changes are applied in order without gaps, and a snapshot only
// replaces an older one, so late messages have no effect. While the table is out,
// the last applied snapshot stays in force.
//
// Compaction writes the snapshot to the object store under a name that is used
// once, reads it back, points the pointer row to it, and only then drops rows that
// it holds. A VM that starts meanwhile finds a gap after an old snapshot and reads
// the pointer again.
package confstore
