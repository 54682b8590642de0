// Package lease elects, for each control duty, one VM that may act on it.
//
// A lease is one row of the platform's table. The holder renews it by a
// conditional write; every other VM only watches the row's revision. Clocks are
// never compared between VMs: a contender takes over once it has seen one and the
// same revision for the whole duration on its own monotonic clock. Where the table
// tells its own steady clock, a renewal says what that clock showed at most when it was
// sent, and what has passed by it until a contender first sees the row counts too: after
// the loss of all power nobody has seen anything, and the duty would rest for a whole
// duration more. The holder counts its duration from before it sent the renewal, and stops
// a margin early. So the holder's view has ended before anyone else's can begin, whatever
// the clocks of the two VMs show.
//
// What goes wrong, and what happens then. The table is out: the holder's view
// ends and the duty rests until the table is back, for nobody can take it over
// either. The answer to a renewal is lost: the renewal counts only once it was
// read back. The holder's VM is paused: on waking, its monotonic clock may not
// have moved, so the wall clock is read too and the longer of the two elapsed
// times counts. The holder is paused between Check and its act: no check can help
// there, which is why each change of holder raises the fencing number and the act
// carries it; package orders tells what is done for targets that ignore it.
package lease
