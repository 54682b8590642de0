package lease

import (
	"time"

	"geraniumcroft/internal/platform"
)

// attempt is a write whose effect has not been read back yet.
type attempt struct {
	sent Reading
	// expectedRevision is the revision of the row that the write requires.
	expectedRevision uint64
	record           record
}

// tenure is an uninterrupted period in which this VM holds one lease.
type tenure struct {
	nonce    string
	fencing  uint64
	acquired Reading
	// renewed is the reading taken before the latest confirmed write was sent.
	renewed Reading
}

// duty is what this VM knows about one lease. It is guarded by the manager's mutex.
type duty struct {
	name string
	// known says that the row has been read. revision and record are those of the row, and
	// firstSeen is when this revision was first read.
	known bool
	// unreadable says that the row cannot be decoded, since another program has written it.
	unreadable bool
	revision   uint64
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

// observe takes over a row that was read. now must be taken after the answer arrived.
func (d *duty) observe(row platform.Row, r record, now Reading) {
	changed := !d.known || row.Revision != d.revision
	d.known = true
	d.revision = row.Revision
	d.record = r
	d.readAt = row.ReadAt
	if changed {
		d.firstSeen, d.ageAtFirstSeen = now, r.ageAt(row.ReadAt)
	}
	if own, ok := d.attempts[row.TxnID]; ok && row.Revision != 0 {
		d.applyWrite(own, now)
	}
	if d.tenure != nil && d.tenure.nonce != r.Nonce {
		d.tenure = nil
	}
	d.dropObsoleteAttempts()
}

// applyWrite takes over a write of this VM that has taken effect.
func (d *duty) applyWrite(a attempt, now Reading) {
	if a.record.free() {
		d.tenure = nil
		return
	}
	if d.tenure == nil || d.tenure.nonce != a.record.Nonce {
		d.tenure = &tenure{nonce: a.record.Nonce, fencing: a.record.Fencing, acquired: now, renewed: a.sent}
		return
	}
	if a.sent.Mono > d.tenure.renewed.Mono {
		d.tenure.renewed = a.sent
	}
}

// dropObsoleteAttempts removes the attempts whose condition can never hold again, because
// revisions only increase.
func (d *duty) dropObsoleteAttempts() {
	for id, a := range d.attempts {
		if a.expectedRevision < d.revision {
			delete(d.attempts, id)
		}
	}
}

// availableAfter returns how long after firstSeen the lease may be taken. The time that has passed
// before on the table's clock is subtracted: VMs that all start together find the lease of a
// holder that has stopped, and would otherwise wait for its whole duration again.
func (d *duty) availableAfter(ownTTL time.Duration) time.Duration {
	if d.record.free() {
		return 0
	}
	return max(0, max(ownTTL, d.record.ttl())-d.ageAtFirstSeen)
}
