package membership

import "time"

// Incarnation orders the updates about VMs of the same name. The high bits are the start time of
// the process in Unix milliseconds, the low bits count its refutations. A VM keeps no state over a
// restart, so only the clock can make the incarnation of its next process higher. If the clock has
// gone back, the VM learns of its former incarnation from others and takes a higher start time.
type Incarnation uint64

const refutationBits = 16

// NewIncarnation returns the incarnation of a process that started at the given time.
func NewIncarnation(start time.Time) Incarnation {
	return Incarnation(start.UnixMilli()) << refutationBits
}

// ProcessStart returns the start time of the process, which all incarnations of one process share.
// Messages with an earlier start are from a process that has ended.
func (i Incarnation) ProcessStart() uint64 { return uint64(i) >> refutationBits }

func (i Incarnation) nextProcess() Incarnation {
	return Incarnation(i.ProcessStart()+1) << refutationBits
}
