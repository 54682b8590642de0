package lease

import (
	"time"

	"geraniumcroft/internal/platform"
)

// attempt is a write whose effect was not yet read back.
type attempt struct {
	sent Reading
	// condition is the revision that the write demands.
	condition uint64
	record    record
}

// tenure is an unbroken time of holding one lease.
type tenure struct {
	nonce    string
	fencing  uint64
	acquired Reading
	// renewed is the reading before the newest confirmed write was sent.
	renewed Reading
}

// duty is what this VM knows of one lease. It is guarded by the manager's mutex.
type duty struct {
	name string
	// known says that a row was read; revision and record are that row's, and
	// firstSeen is when this revision was first read.
	known bool
	// unreadable says that somebody else has written the row.
	unreadable bool
	revision   uint64
	record     record
	firstSeen  Reading
	// ageFirstSeen is for how long the lease had not been renewed then.
	ageFirstSeen time.Duration
	// readAt is the table's clock at the newest reading of the row.
	readAt time.Duration
	// attempts are this VM's writes that may have taken or may yet take effect, by
	// transaction.
	attempts map[string]attempt
	// tenure is nil unless the table says that this VM holds the lease.
	tenure *tenure
}

// observe takes in a row that was read; now is a reading after the answer came.
func (d *duty) observe(row platform.Row, r record, now Reading) {
	changed := !d.known || row.Revision != d.revision
	d.known = true
	d.revision = row.Revision
	d.record = r
	d.readAt = row.ReadAt
	if changed {
		d.firstSeen, d.ageFirstSeen = now, r.ageAt(row.ReadAt)
	}
	if mine, ok := d.attempts[row.TxnID]; ok && row.Revision != 0 {
		d.adopt(mine, now)
	}
	if d.tenure != nil && d.tenure.nonce != r.Nonce {
		d.tenure = nil
	}
	d.forgetDeadAttempts()
}

// adopt counts a write of this VM that took effect.
func (d *duty) adopt(a attempt, now Reading) {
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

// forgetDeadAttempts drops the writes whose condition can never hold again, for
// revisions only rise.
func (d *duty) forgetDeadAttempts() {
	for id, a := range d.attempts {
		if a.condition < d.revision {
			delete(d.attempts, id)
		}
	}
}

// takeableAfter returns how long after firstSeen the lease may be taken. What the table's clock
// shows to have passed before counts: VMs that all start together find the lease of one that is
// gone, and would wait its whole duration again.
func (d *duty) takeableAfter(own time.Duration) time.Duration {
	if d.record.free() {
		return 0
	}
	return max(0, max(own, d.record.ttl())-d.ageFirstSeen)
}
