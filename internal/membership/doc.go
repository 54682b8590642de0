// Package membership keeps one VM's view of the system's own VMs: which of them are alive,
// suspected or dead, which are leaving, and which have left.
//
// Table is a pure state machine. It opens no connection and reads no clock: its owner passes in the
// messages received, the failed probes and the time, and asks it which VM to probe and what to send
// to others. Tests can therefore simulate years of failures in virtual time.
//
// The failure of a VM is detected as follows. Each VM probes one other VM per period, in shuffled
// rounds, so that its cost does not depend on the size of the fleet. If a probe fails over an
// existing connection, over a new one and through a few helper VMs, the VM is suspected and the
// suspicion is gossiped. A suspected VM that is alive learns of it, because every VM that does not
// hold it alive reports this in each message to it, and refutes the suspicion with a higher
// incarnation. A VM that does not refute is dead once the suspicion timeout has passed without a
// message from it.
//
// A rumour alone never makes a VM dead: a VM that receives a rumour that another one is dead
// suspects it and waits for its own timeout. When a partition heals, each half holds the other
// dead; their VMs then become suspects that refute, and do not stay dead. Dead VMs are probed from
// time to time for as long as they are remembered; otherwise the halves would never connect again.
//
// The platform's list lags behind. It adds VMs to probe, but it neither removes a VM that answers
// nor keeps a VM alive that does not.
package membership
