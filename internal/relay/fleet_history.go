package relay

import "time"

const (
	// fleetMemory is the time for which the largest number of VMs counts. VMs that others have stopped
	// counting, because their rows were not written, learn of it within this time.
	fleetMemory = time.Minute
	// countedGrace is how long a VM still counts as a member of the fleet after its list lacked it. The
	// list may be read while the rows of all VMs have expired after an outage of the store.
	countedGrace = 10 * time.Second
)

// fleetHistory is the recent past of a VM's FleetCount. From it follows the part of a fleet's allowance
// that the VM may use without knowing what others use.
type fleetHistory struct {
	// window is the time for which what was used counts against the allowance.
	window time.Duration
	// unused says that nobody can have used any of the allowance before, as the whole fleet starts for
	// the first time.
	unused bool
	// countedSince is when the VM began to be counted, zero while it is not. lastCounted is when it
	// was last counted.
	countedSince, lastCounted time.Time
	// counts are the numbers of VMs of the last fleetMemory, each larger than the following one.
	counts []timedCount
}

// timedCount is a number of VMs and when it was last reported.
type timedCount struct {
	vms int
	at  time.Time
}

// record adds what the VM knows at a time.
func (h *fleetHistory) record(f FleetCount, now time.Time) {
	h.expire(now)
	if f.VMs > 0 {
		h.recordCount(f.VMs, now)
	}
	if !f.Counted {
		return
	}
	if h.countedSince.IsZero() {
		h.countedSince = now
	}
	h.lastCounted = now
}

func (h *fleetHistory) recordCount(vms int, now time.Time) {
	for len(h.counts) > 0 && h.counts[len(h.counts)-1].vms <= vms {
		h.counts = h.counts[:len(h.counts)-1]
	}
	h.counts = append(h.counts, timedCount{vms: vms, at: now})
}

// expire drops what is too old to count.
func (h *fleetHistory) expire(now time.Time) {
	if !h.countedSince.IsZero() && now.Sub(h.lastCounted) > countedGrace {
		h.countedSince, h.unused = time.Time{}, false
	}
	for len(h.counts) > 1 && now.Sub(h.counts[0].at) > fleetMemory {
		h.counts = h.counts[1:]
	}
}

// share returns the number of VMs among which the allowance is divided, 0 if it is not known. It reports whether
// this VM's part is its own: that is so a window after the others have begun to count it. Until then an
// earlier process of this VM, or the others before they counted it, may have used that part.
func (h *fleetHistory) share(now time.Time) (vms int, established bool) {
	h.expire(now)
	if len(h.counts) == 0 {
		return 0, false
	}
	established = !h.countedSince.IsZero() && (h.unused || now.Sub(h.countedSince) >= h.window)
	return h.counts[0].vms, established
}
