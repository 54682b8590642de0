// Package lease elects one VM for each control duty. Only this VM may act on the duty.
//
// A lease is one row of the platform's table. The holder renews it by a conditional write; every
// other VM, a contender, only watches the revision of the row. Clocks are never compared between
// VMs: a contender takes over once it has seen the same revision for the whole duration on its own
// monotonic clock. If the table reports a steady clock of its own, a renewal records an upper
// bound of what that clock showed when the renewal was sent, and the time from there until a
// contender first sees the row counts as well. Otherwise, after a power loss of the whole fleet,
// where no VM has observed the row, the duty would have no holder for another full duration. The
// holder counts the duration from before it sent the renewal, and stops a margin early. The period
// in which the holder may act is called its view: it has ended before the view of any other VM can
// begin, whatever the clocks of the two VMs show.
//
// Failures and their effect:
//
// If the table is unavailable, the holder's view ends and the duty has no holder until the table
// is available again, since no other VM can take over either.
//
// If the answer to a renewal is lost, the renewal counts only once it has been read back.
//
// If the holder's VM is paused, its monotonic clock may not have advanced when it resumes. The
// wall clock is read as well and the longer of the two elapsed times counts.
//
// If the table comes back from an older copy, it may have lost an acquisition, renewals or a release. A
// record therefore names the era in which it was written. A contender that reads it in a later era
// ignores the age that it shows, also of a free lease, and observes the row for the whole duration:
// the view of a holder whose writes were lost ends before. A holder goes on if the row is one of its
// own confirmed writes and its view still lasts. A write that was planned in an earlier era never
// counts, since its condition may hold by chance. Fencing numbers begin with the era.
//
// If the holder is paused between Check and its act, no check can help. Therefore each change of
// holder raises the fencing number, and the act carries it; package orders documents what is done
// for targets that ignore it.
package lease
