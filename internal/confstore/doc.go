// Package confstore stores the history of configuration changes in the platform's table
// and holds the snapshot that is in force on this VM.
//
// The history consists of one row for each change and a head row with the newest version.
// A proposal commits both in one transaction, on the condition that the head row is as it
// was read. Therefore two changes never have the same version, and a change never
// overwrites one that its author has not seen. A proposal that loses a race reads the
// newer changes, validates again and retries, unless the entity that it changes was
// changed in the meantime: then its author receives a *ConflictError.
//
// If the response to the transaction is lost, the transaction may have been applied, or
// may be applied later. The proposal reads the change's row. If the row holds another
// change, the head row has changed and the transaction can never be applied. If there is
// no row, the same transaction is sent again with the same conditions, so that at most
// one copy is applied. A transaction that can't be resolved in time yields a
// *PendingError and is never reported as failed.
//
// VMs receive changes from peers, which push them, and poll the head row as the last
// resort. Changes are applied in order without gaps, and a snapshot replaces only an
// older one, so late messages have no effect. While the table is unavailable, the last
// applied snapshot remains in force.
//
// Compaction writes the snapshot to the object store under a name that is used only
// once, reads it back, makes the pointer row refer to it, and only then drops rows whose
// changes it contains. A VM that starts during compaction may find a gap after an old
// snapshot. It then reads the pointer again.
package confstore
