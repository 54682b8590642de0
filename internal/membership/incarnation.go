package membership

import "time"

// Incarnation orders what is said of one VM name. The high bits are the start
// time of the process in milliseconds, the low bits count its refutations. A VM
// keeps nothing over a restart, so only the clock can make its next life higher;
// should the clock have gone back, the VM hears of its former life and takes a
// higher start.
type Incarnation uint64

const refutationBits = 16

// NewIncarnation returns the incarnation of a process that starts at a time.
func NewIncarnation(start time.Time) Incarnation {
	return Incarnation(start.UnixMilli()) << refutationBits
}

// ProcessStart returns the part that one process keeps. Messages of an older life are
// from a process that has ended.
func (i Incarnation) ProcessStart() uint64 { return uint64(i) >> refutationBits }

func (i Incarnation) nextLife() Incarnation {
	return Incarnation(i.ProcessStart()+1) << refutationBits
}
