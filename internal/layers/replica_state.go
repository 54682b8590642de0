package layers

import (
	"time"

	"geraniumcroft/internal/config"
)

const (
	// paceMaxAge is how long a reported pace is used.
	paceMaxAge = loadMaxAge
	// usageGrowth is the factor by which the memory of the reported requests will still
	// grow: on average they are half way through their answers.
	usageGrowth = 1.12
	// fullThreshold is the fraction of a replica's memory up to which a VM may go beyond its
	// own share. The rest covers what other VMs send before the next report.
	fullThreshold = 0.8
	// bottleneckLeavingThreshold is fullThreshold for refusals where the bottleneck counts.
	bottleneckLeavingThreshold = 0.5
	// minEntryShare is how many of this VM's requests may begin at a replica at the same time,
	// however many VMs share it. The even share of 192 slots in another data centre is one
	// for each of 83 VMs, and at most a third of these send requests out of their data
	// centre at once.
	minEntryShare = 2
)

// replicaState is what this VM knows of a replica.
type replicaState struct {
	Replica
	suspicion
	kind Accelerator
	// reserved is the memory that this VM's requests reserve here, in tokens times layers.
	reserved float64
	// capacity is the memory for requests, in tokens times layers.
	capacity float64
	// entryRequests is how many of this VM's requests have their first stage here, streams how many
	// have any stage here.
	entryRequests int
	streams       int
	entryFraction entryFraction

	// load is the last report. reservedAtReport and entryRequestsAtReport are this VM's reserved and
	// entryRequests when it arrived, useAtReport is the use that the report shows.
	load                  Load
	reservedAtReport      float64
	entryRequestsAtReport int
	useAtReport           use
	history               useHistory
	// listed is the range that discovery shows, listedAt is when this VM first saw it.
	listed   config.LayerRange
	listedAt time.Time

	// pace is the reported pace, received at paceAt; above 1 the replica is slower than
	// its kind of card.
	pace   float64
	paceAt time.Time
}

// reset applies what discovery lists now and keeps what this VM has observed.
func (s *replicaState) reset(spec *Spec, r Replica) {
	held := s.Held
	if s.listedAt.IsZero() || s.listed != r.Held {
		held, s.listed, s.listedAt = r.Held, r.Held, time.Now()
	}
	s.Replica = r
	s.kind = spec.kind(r.Kind)
	s.setHeld(spec, held)
}

// setHeld sets the range that the replica holds.
func (s *replicaState) setHeld(spec *Spec, held config.LayerRange) {
	if s.Held != held {
		s.load = Load{} // it was about another range
	}
	s.Held = held
	s.capacity = spec.tokenCapacity(s.kind, held.Len()) * float64(held.Len())
}

// applyReportedRange applies the range in a report if it is newer than the one in
// discovery. A replica writes its layers to discovery with its next heartbeat only, so a
// missing range would otherwise be missing for a second or two longer. A report without a
// range says nothing of it; reports from VMs of an earlier version have none.
func (s *replicaState) applyReportedRange(spec *Spec, load Load) {
	if load.Held.Len() > 0 && spec.ValidRange(load.Held) && load.Held != s.Held && load.At.Add(-reportLag).After(s.listedAt) {
		s.setHeld(spec, load.Held)
	}
}

// hasFreshLoad reports whether there is a load report that is not too old.
func (s *replicaState) hasFreshLoad(now time.Time) bool {
	return s.load.Total > 0 && now.Sub(s.load.At) <= loadMaxAge
}

// usage estimates the memory that the requests of all VMs use here. The second result is
// false without a fresh report.
func (s *replicaState) usage(now time.Time) (float64, bool) {
	if !s.hasFreshLoad(now) {
		return 0, false
	}
	return max(s.reserved, usageGrowth*s.load.Used+s.reserved-s.reservedAtReport), true
}

// fits reports whether this VM may reserve the amount here. Without a report it may use its even
// share, or have one request on the replicas that VMCounts.mayStartOn gives it. With one it may
// always use its even share while the replica is not full. Up to a few shares, or for one request in any case,
// it may continue while the report leaves capacity for what other VMs send before the next
// report. Beyond that it takes only its part of the memory that was reported free:
// otherwise all VMs would fill the same memory at once.
func (s *replicaState) fits(amount float64, a allowance, now time.Time) bool {
	wanted := s.reserved + amount
	usage, known := s.usage(now)
	if !known {
		return wanted <= s.capacity*a.share || s.reserved == 0 && a.mayStartOn(s.Replica, s.capacity/amount)
	}
	after := usage + amount
	switch {
	case wanted <= s.capacity*a.share:
		return after <= s.capacity
	case wanted <= s.capacity*a.limit, s.reserved == 0:
		return after <= fullThreshold*s.capacity
	}
	free := fullThreshold*s.capacity - usageGrowth*s.load.Used
	return s.reserved-s.reservedAtReport+amount <= a.free*free
}

// usageAbove reports whether the requests of all VMs use more than a fraction of the
// memory. It is true if the usage is not known.
func (s *replicaState) usageAbove(part float64, now time.Time) bool {
	usage, known := s.usage(now)
	return !known || usage > part*s.capacity
}

// admitsEntry reports whether one more of this VM's requests may have its first stage
// here, by the same rules as fits.
func (s *replicaState) admitsEntry(slots int, a allowance, now time.Time) bool {
	withinShare := s.entryRequests < max(minEntryShare, int(a.share*float64(slots)))
	if !s.hasFreshLoad(now) {
		return withinShare
	}
	after := s.reportedEntries() + float64(s.entryRequests-s.entryRequestsAtReport+1)
	if withinShare {
		return after <= float64(slots)
	}
	return s.entryRequests < int(a.limit*float64(slots)) && after <= fullThreshold*float64(slots)
}

// reportedEntries estimates how many of the reported requests have their first stage here. Only these
// use the replica's slots.
func (s *replicaState) reportedEntries() float64 {
	return float64(s.load.Streams) * s.entryFraction.value()
}

// shareUsed returns the fraction of its share of the memory that this VM uses. The
// reported load does not count: it is seconds old and the same for all VMs, so all of them
// would choose the replica that looked emptiest and fill it before the next report.
func (s *replicaState) shareUsed(share float64) float64 { return s.reserved / max(1, s.capacity*share) }

// recordRefusal makes new paths avoid the replica after a request was refused, by the
// replica itself or by one that knew of it.
func (s *replicaState) recordRefusal(spec *Spec, now time.Time) {
	if usage, known := s.usage(now); known && usage < spec.leavingThreshold()*s.capacity {
		s.avoid(now, leavingSuspicion, maxLeavingSuspicion)
		return
	}
	s.suspect(now)
}

// leavingThreshold returns the fraction of a replica's memory below which a refusal means that the replica is
// about to leave. Where the bottleneck counts, replicas are used up to their limits, and one that reported
// somewhat less a second or two ago may be full.
func (s *Spec) leavingThreshold() float64 {
	if s.PlaceForBottleneck {
		return bottleneckLeavingThreshold
	}
	return fullThreshold
}

// slowdown returns the factor by which the replica is slower than its kind of card, at
// least 1.
func (s *replicaState) slowdown(now time.Time) float64 {
	if s.pace <= 1 || now.Sub(s.paceAt) > paceMaxAge {
		return 1
	}
	return s.pace
}
