package layers

import (
	"time"

	"geraniumcroft/internal/config"
)

const (
	// paceTrust is how long a replica's reported pace is believed.
	paceTrust = loadTrust
	// growth is by how much the requests that a replica reports will still grow: they
	// are on the average half way through their answers.
	growth = 1.12
	// fullAt is the part of a replica's memory up to which a VM may go beyond its own
	// share. The rest covers what others send before the next report.
	fullAt = 0.8
	// leastEntries is how many of this VM's requests may enter at a replica at the same
	// time however many VMs share it. The even part of 192 slots far away is one for each
	// of 83 VMs, and at most a third of them go beyond their data centre at once.
	leastEntries = 2
)

// state is what this VM knows of a replica.
type state struct {
	Replica
	suspicion
	kind Accelerator
	// reserved is the memory that this VM's requests hold here, in tokens times layers.
	reserved float64
	// capacity is the memory for requests, in tokens times layers.
	capacity float64
	// first is how many of this VM's requests enter here.
	first int

	// load is what the replica last reported, reservedThen what this VM had reserved.
	load         Load
	reservedThen float64
	firstThen    int
	// listed is the range that discovery shows, listedAt when this VM first saw it.
	listed   config.LayerRange
	listedAt time.Time

	// pace is what the replica's report says; above 1 it is slower than its kind.
	pace   float64
	paceAt time.Time
}

// reset takes over what discovery lists now and keeps what this VM has learned.
func (s *state) reset(spec *Spec, r Replica) {
	held := s.Held
	if s.listedAt.IsZero() || s.listed != r.Held {
		held, s.listed, s.listedAt = r.Held, r.Held, time.Now()
	}
	s.Replica = r
	s.kind = spec.kind(r.Kind)
	s.hold(spec, held)
}

// hold takes over the range that the replica holds.
func (s *state) hold(spec *Spec, held config.LayerRange) {
	if s.Held != held {
		s.load = Load{} // it was about another range
	}
	s.Held = held
	s.capacity = spec.room(s.kind, held.Len()) * float64(held.Len())
}

// takeHeld takes over the range that a report shows if it is newer than what discovery
// shows: a replica tells discovery of its layers at its next heartbeat only, and a range
// that was missing would be so for a second or two longer. A report without a range, as
// an earlier version's boards have none, says nothing.
func (s *state) takeHeld(spec *Spec, load Load) {
	if load.Held.Len() > 0 && spec.ValidRange(load.Held) && load.Held != s.Held && load.At.Add(-reportLag).After(s.listedAt) {
		s.hold(spec, load.Held)
	}
}

// reported says whether there is a report of the replica that is believed yet.
func (s *state) reported(now time.Time) bool {
	return s.load.Total > 0 && now.Sub(s.load.At) <= loadTrust
}

// usage estimates the memory that all VMs' requests hold here, and whether it is known.
func (s *state) usage(now time.Time) (float64, bool) {
	if !s.reported(now) {
		return 0, false
	}
	return max(s.reserved, growth*s.load.Used+s.reserved-s.reservedThen), true
}

// fits reports whether this VM may put the amount here. Its even share is its own as long
// as the replica is not full. Up to a few shares it may use, and place one request in any
// case, while the report leaves room for what others do before the next one; beyond
// that it takes only its part of the room that was reported free, or all VMs would fill
// the same room at once.
func (s *state) fits(amount float64, a allowance, now time.Time) bool {
	wanted := s.reserved + amount
	usage, known := s.usage(now)
	if !known {
		return wanted <= s.capacity*a.share
	}
	after := usage + amount
	switch {
	case wanted <= s.capacity*a.share:
		return after <= s.capacity
	case wanted <= s.capacity*a.most, s.reserved == 0:
		return after <= fullAt*s.capacity
	}
	free := fullAt*s.capacity - growth*s.load.Used
	return s.reserved-s.reservedThen+amount <= a.free*free
}

// fullerThan reports whether the requests of all VMs hold more than a part of the memory, as far
// as that is known.
func (s *state) fullerThan(part float64, now time.Time) bool {
	usage, known := s.usage(now)
	return !known || usage > part*s.capacity
}

// enters reports whether one more of this VM's requests may enter here, as with fits.
func (s *state) enters(slots int, a allowance, now time.Time) bool {
	own := s.first < max(leastEntries, int(a.share*float64(slots)))
	if !s.reported(now) {
		return own
	}
	after := s.load.EntryRequests + s.first - s.firstThen + 1
	if own {
		return after <= slots
	}
	return s.first < int(a.most*float64(slots)) && float64(after) <= fullAt*float64(slots)
}

// fullness is how much of its share of the memory this VM uses. The reported load does
// not count here: it is seconds old and the same for all VMs, which would all turn to
// the replica that looked emptiest, and fill it before the next report.
func (s *state) fullness(share float64) float64 { return s.reserved / max(1, s.capacity*share) }

// turnedAway avoids the replica after it, or one that knows, did not take a request.
func (s *state) turnedAway(now time.Time) {
	if usage, known := s.usage(now); known && usage < fullAt*s.capacity {
		s.avoid(now, leavingSuspicion, maxLeaving)
		return
	}
	s.suspect(now)
}

// slowness is by how much the replica is slower than its kind, at least 1.
func (s *state) slowness(now time.Time) float64 {
	if s.pace <= 1 || now.Sub(s.paceAt) > paceTrust {
		return 1
	}
	return s.pace
}
