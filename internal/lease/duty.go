package lease

import (
	"slices"
	"time"

	"geraniumcroft/internal/platform"
)

// attempt is a write whose effect has not been read back yet.
type attempt struct {
	sent Reading
	// expected is the version of the row that the write requires. The table checks the revision only.
	expected platform.Version
	record   record
}

// tenure is an uninterrupted period in which this VM holds one lease.
type tenure struct {
	nonce    string
	fencing  uint64
	acquired Reading
	// renewed is the reading taken before the latest confirmed write was sent.
	renewed Reading
	// txns are the transactions of the latest confirmed writes, up to maxConfirmedTxns.
	txns []string
}

// maxConfirmedTxns is more than a holder writes in the time that a copy of the table may be old.
const maxConfirmedTxns = 64

// confirm records that a write of the tenure has taken effect.
func (t *tenure) confirm(txn string) {
	if len(t.txns) == maxConfirmedTxns {
		t.txns = t.txns[1:]
	}
	t.txns = append(t.txns, txn)
}

// duty is what this VM knows about one lease. It is guarded by the manager's mutex.
type duty struct {
	name string
	// known says that the row has been read. version and record are those of the row, and
	// firstSeen is when this version was first read. The version of a missing row has revision 0.
	known bool
	// firstEra is the era in which the row was first read.
	firstEra uint64
	// unreadable says that the row cannot be decoded, since another program has written it.
	unreadable bool
	version    platform.Version
	record     record
	firstSeen  Reading
	// ageAtFirstSeen is how long the lease had not been renewed at firstSeen, if that is known,
	// else 0.
	ageAtFirstSeen time.Duration
	// readAt is what the table's clock showed at the latest read of the row.
	readAt time.Duration
	// attempts are the writes of this VM that may have taken effect or may still do so, by
	// transaction ID.
	attempts map[string]attempt
	// tenure is nil unless this VM holds the lease according to the table.
	tenure *tenure
}

// observe takes over a row that was read. now must be taken after the answer arrived. viewValid says
// whether this VM's view lasts.
func (d *duty) observe(row platform.Row, r record, viewValid bool, now Reading) {
	version := platform.Version{Era: row.Era, Revision: row.Revision}
	if !d.known {
		d.firstEra = row.Era
	}
	changed, newEra := !d.known || version != d.version, d.known && row.Era != d.version.Era
	d.known = true
	d.version = version
	d.record = r
	d.readAt = row.ReadAt
	if changed {
		d.firstSeen, d.ageAtFirstSeen = now, 0
		if d.writesAreComplete() {
			d.ageAtFirstSeen = r.ageAt(row.ReadAt)
		}
	}
	if newEra {
		d.beginEra(row.TxnID, viewValid)
	}
	if own, ok := d.attempts[row.TxnID]; ok && row.Revision != 0 {
		d.applyWrite(row.TxnID, own, now)
	}
	if d.tenure != nil && d.tenure.nonce != r.Nonce {
		d.tenure = nil
	}
	d.dropObsoleteAttempts()
}

// beginEra forgets what was attempted before the table came back from an older copy: an attempt may take
// effect now because its revision was given out again. A tenure ends whose view has ended, as others may
// have held the lease since then, in rows that were lost. So does one whose row this VM is not known to
// have written: that may be such an attempt, which has overwritten another holder's row.
func (d *duty) beginEra(txn string, viewValid bool) {
	clear(d.attempts)
	if d.tenure != nil && (!viewValid || !slices.Contains(d.tenure.txns, txn)) {
		d.tenure = nil
	}
}

// writesAreComplete reports whether no write after that of the row can be lost: the row was written in
// the era in which it was read.
func (d *duty) writesAreComplete() bool { return d.record.Era == d.version.Era }

// applyWrite takes over a write of this VM that has taken effect.
func (d *duty) applyWrite(txn string, a attempt, now Reading) {
	if a.record.free() {
		d.tenure = nil
		return
	}
	if d.tenure == nil || d.tenure.nonce != a.record.Nonce {
		d.tenure = &tenure{nonce: a.record.Nonce, fencing: a.record.Fencing, acquired: now, renewed: a.sent}
	}
	d.tenure.confirm(txn)
	if a.sent.Mono > d.tenure.renewed.Mono {
		d.tenure.renewed = a.sent
	}
}

// dropObsoleteAttempts removes the attempts whose condition can never hold again, because
// revisions only increase within an era.
func (d *duty) dropObsoleteAttempts() {
	for id, a := range d.attempts {
		if a.expected.Before(d.version) {
			delete(d.attempts, id)
		}
	}
}

// availableAfter returns how long after firstSeen the lease may be taken. The time that has passed
// before on the table's clock is subtracted: VMs that all start together find the lease of a
// holder that has stopped, and would otherwise wait for its whole duration again.
//
// A free lease may be taken at once, unless the table may have lost that somebody holds it.
func (d *duty) availableAfter(ownTTL time.Duration, firstStart bool) time.Duration {
	neverHeld := d.version.Revision == 0 && firstStart && d.version.Era == d.firstEra
	if d.record.free() && (d.writesAreComplete() || neverHeld) {
		return 0
	}
	return max(0, max(ownTTL, d.record.ttl())-d.ageAtFirstSeen)
}
