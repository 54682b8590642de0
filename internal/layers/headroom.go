package layers

import (
	"time"

	"geraniumcroft/internal/overload"
)

// maxMemoryUse is the fraction of a replica's memory that competing requests may plan to use. A replica
// whose memory runs out ends its newest request and reads it again.
const maxMemoryUse = 0.95

// usableBy is what a VM may use of a replica for the requests of a class.
type usableBy struct {
	// fraction is the part of the replica that the requests of the class may use.
	fraction float64
	// share is the part of that which this VM may always use, whatever other VMs do. The shares of all
	// VMs together are the whole.
	share float64
	// growth is the part of what is reported free that this VM may take beyond its share until the next
	// report.
	growth float64
}

// demand counts the stages of streams at the replicas of one data centre.
type demand struct {
	own, all float64
}

// SetOverloadLimits sets how much of a replica requests of different classes may use; see
// Query.Class.
func (t *Table) SetOverloadLimits(l overload.Limits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits = l
}

// usable returns what the request may use of the replicas of a data centre.
func (s *search) usable(dataCentre string) usableBy {
	t := s.table
	if t.vmCounts.DataCentre != "" && dataCentre != t.vmCounts.DataCentre {
		return usableBy{
			fraction: t.limits.UsableElsewhere(s.query.Class), share: t.vmCounts.share(dataCentre),
			growth: overload.RemoteGrowth(t.vmCounts.Fleet - t.vmCounts.Local),
		}
	}
	d := t.demands[dataCentre]
	share := overload.Share(d.own, d.all, t.vmCounts.Local)
	return usableBy{fraction: t.limits.Usable(s.query.Class), share: share, growth: overload.LocalGrowth(share)}
}

// overlap returns how many of the layers of the search a replica holds.
func (s *search) overlap(r *replicaState) int {
	return max(0, min(s.to, r.Held.To)-max(s.from, r.Held.From))
}

// fits reports whether the replica has memory for the amount. A competing request uses a replica only if
// all of its layers fit there. With room for a few, the cheapest path would leave a nearly full replica
// and return to it, which is not allowed, and no path would be found where there is one without it.
func (s *search) fits(r *replicaState, amount float64) bool {
	if s.query.Class.Competing() && r.hasFreshLoad(s.now) {
		u := s.usable(r.DataCentre)
		return r.memoryHeadroom(u).admits(s.query.tokens()*float64(s.overlap(r)), u)
	}
	return r.fits(amount, s.table.vmCounts.allowance(r.DataCentre), s.now)
}

// admitsEntry reports whether the replica takes one more request as the first of its path.
func (s *search) admitsEntry(r *replicaState) bool {
	if s.query.Class.Competing() && r.hasFreshLoad(s.now) {
		u := s.usable(r.DataCentre)
		return r.slotHeadroom(s.table.spec.Slots, u).admits(1, u)
	}
	return r.admitsEntry(s.table.spec.Slots, s.table.vmCounts.allowance(r.DataCentre), s.now)
}

// memoryHeadroom returns the use of the replica's memory.
func (s *replicaState) memoryHeadroom(u usableBy) headroom {
	reported, grown := usageGrowth*s.load.Used, s.reserved-s.useAtReport.reserved
	return headroom{
		limit:    min(u.fraction, maxMemoryUse) * s.capacity,
		reported: reported, now: max(s.reserved, reported+grown), own: s.reserved, grown: grown,
	}
}

// slotHeadroom returns the use of the replica's slots, which bound what begins there.
func (s *replicaState) slotHeadroom(slots int, u usableBy) headroom {
	own := float64(s.entryRequests)
	reported, grown := s.reportedEntries(), own-float64(s.useAtReport.entries)
	return headroom{
		limit:    u.fraction * float64(slots),
		reported: reported, now: max(own, reported+grown), own: own, grown: grown,
	}
}

// headroom is the use of a replica's slots or memory.
type headroom struct {
	// limit is up to where the requests of a class may use it.
	limit float64
	// reported is the use by the requests of all VMs at the last report, now its estimate for now.
	reported, now float64
	// own is the use by this VM's requests, grown by how much that has increased since the report.
	own, grown float64
}

// admits reports whether this VM may use an amount more. A VM knows the use of its share without delay.
// What it takes beyond it until the next report is bounded, as all VMs see the same free capacity.
func (h headroom) admits(amount float64, u usableBy) bool {
	if h.now+amount > h.limit {
		return false
	}
	return h.own+amount <= u.share*h.limit || h.grown <= 0 || h.grown+amount <= u.growth*(h.limit-h.reported)
}

// demandDecay is the weight of the demand seen at earlier reports, for each new one. It smooths what a VM
// with some ten streams sees of its part.
const demandDecay = 0.7

// updateDemands counts the stages of streams at the replicas of each data centre, as reported.
// t.mu is held.
func (t *Table) updateDemands(now time.Time) {
	for name, d := range t.demands {
		t.demands[name] = demand{own: demandDecay * d.own, all: demandDecay * d.all}
	}
	for _, s := range t.replicas {
		if s.hasFreshLoad(now) {
			d := t.demands[s.DataCentre]
			d.own += float64(s.streams)
			d.all += float64(s.load.Streams)
			t.demands[s.DataCentre] = d
		}
	}
}
