package layers

import (
	"time"

	"geraniumcroft/internal/config"
)

const (
	// paceMaxAge is how long a replica's reported pace is believed.
	paceMaxAge = loadMaxAge
	// usageGrowth is by how much the requests that a replica reports will still grow: they
	// are on the average half way through their answers.
	usageGrowth = 1.12
	// fullThreshold is the part of a replica's memory up to which a VM may go beyond its own
	// share. The rest covers what others send before the next report.
	fullThreshold = 0.8
	// minEntryShare is how many of this VM's requests may enter at a replica at the same
	// time however many VMs share it. The even part of 192 slots far away is one for each
	// of 83 VMs, and at most a third of them go beyond their data centre at once.
	minEntryShare = 2
)

// replicaState is what this VM knows of a replica.
type replicaState struct {
	Replica
	suspicion
	kind Accelerator
	// reserved is the memory that this VM's requests hold here, in tokens times layers.
	reserved float64
	// capacity is the memory for requests, in tokens times layers.
	capacity float64
	// entryRequests is how many of this VM's requests enter here.
	entryRequests int

	// load is what the replica last reported, reservedThen what this VM had reserved.
	load                  Load
	reservedAtReport      float64
	entryRequestsAtReport int
	// listed is the range that discovery shows, listedAt when this VM first saw it.
	listed   config.LayerRange
	listedAt time.Time

	// pace is what the replica's report says; above 1 it is slower than its kind.
	pace   float64
	paceAt time.Time
}

// reset takes over what discovery lists now and keeps what this VM has learned.
func (s *replicaState) reset(spec *Spec, r Replica) {
	held := s.Held
	if s.listedAt.IsZero() || s.listed != r.Held {
		held, s.listed, s.listedAt = r.Held, r.Held, time.Now()
	}
	s.Replica = r
	s.kind = spec.kind(r.Kind)
	s.setHeld(spec, held)
}

// setHeld takes over the range that the replica holds.
func (s *replicaState) setHeld(spec *Spec, held config.LayerRange) {
	if s.Held != held {
		s.load = Load{} // it was about another range
	}
	s.Held = held
	s.capacity = spec.room(s.kind, held.Len()) * float64(held.Len())
}

// applyReportedRange takes over the range that a report shows if it is newer than what discovery
// shows: a replica tells discovery of its layers at its next heartbeat only, and a range
// that was missing would be so for a second or two longer. A report without a range, as
// an earlier version's boards have none, says nothing.
func (s *replicaState) applyReportedRange(spec *Spec, load Load) {
	if load.Held.Len() > 0 && spec.ValidRange(load.Held) && load.Held != s.Held && load.At.Add(-reportLag).After(s.listedAt) {
		s.setHeld(spec, load.Held)
	}
}

// hasFreshLoad says whether there is a report of the replica that is believed yet.
func (s *replicaState) hasFreshLoad(now time.Time) bool {
	return s.load.Total > 0 && now.Sub(s.load.At) <= loadMaxAge
}

// usage estimates the memory that all VMs' requests hold here, and whether it is known.
func (s *replicaState) usage(now time.Time) (float64, bool) {
	if !s.hasFreshLoad(now) {
		return 0, false
	}
	return max(s.reserved, usageGrowth*s.load.Used+s.reserved-s.reservedAtReport), true
}

// fits reports whether this VM may put the amount here. Its even share is its own as long
// as the replica is not full. Up to a few shares it may use, and place one request in any
// case, while the report leaves room for what others do before the next one; beyond
// that it takes only its part of the room that was reported free, or all VMs would fill
// the same room at once.
func (s *replicaState) fits(amount float64, a allowance, now time.Time) bool {
	wanted := s.reserved + amount
	usage, known := s.usage(now)
	if !known {
		return wanted <= s.capacity*a.share
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

// usageAbove reports whether the requests of all VMs hold more than a part of the memory, as far
// as that is known.
func (s *replicaState) usageAbove(part float64, now time.Time) bool {
	usage, known := s.usage(now)
	return !known || usage > part*s.capacity
}

// admitsEntry reports whether one more of this VM's requests may enter here, as with fits.
func (s *replicaState) admitsEntry(slots int, a allowance, now time.Time) bool {
	own := s.entryRequests < max(minEntryShare, int(a.share*float64(slots)))
	if !s.hasFreshLoad(now) {
		return own
	}
	after := s.load.EntryRequests + s.entryRequests - s.entryRequestsAtReport + 1
	if own {
		return after <= slots
	}
	return s.entryRequests < int(a.limit*float64(slots)) && float64(after) <= fullThreshold*float64(slots)
}

// shareUsed is how much of its share of the memory this VM uses. The reported load does
// not count here: it is seconds old and the same for all VMs, which would all turn to
// the replica that looked emptiest, and fill it before the next report.
func (s *replicaState) shareUsed(share float64) float64 { return s.reserved / max(1, s.capacity*share) }

// recordRefusal avoids the replica after it, or one that knows, did not take a request.
func (s *replicaState) recordRefusal(now time.Time) {
	if usage, known := s.usage(now); known && usage < fullThreshold*s.capacity {
		s.avoid(now, leavingSuspicion, maxLeavingSuspicion)
		return
	}
	s.suspect(now)
}

// slowdown is by how much the replica is slower than its kind, at least 1.
func (s *replicaState) slowdown(now time.Time) float64 {
	if s.pace <= 1 || now.Sub(s.paceAt) > paceMaxAge {
		return 1
	}
	return s.pace
}
