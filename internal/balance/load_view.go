package balance

import (
	"time"

	"geraniumcroft/internal/engine"
)

const (
	// agingStep is the time between two recomputations of an ageing report's trust.
	agingStep = 500 * time.Millisecond
	// outsideWeight is the weight of the newest report in the average of the outside
	// load. A single report is off by what came and went while it was under way;
	// acting on that error makes VMs herd, see docs/design/target-choice.md.
	outsideWeight = 0.25
)

// loadView estimates the load that does not come from this VM.
type loadView struct {
	report engine.LoadReport
	// at is the report's time stamp on this VM's clock; received is when it came.
	at       time.Time
	received time.Time
	// offset is the least difference seen between this VM's clock at the receipt
	// and the target's at the report: the clocks' difference plus the least delay.
	offset    time.Duration
	hasOffset bool
	// outside is the reported load that neither this VM nor its peers had in flight
	// at the time: other users of the target, and peers that were not heard.
	outside float64
	// peers is what peers say they have in flight now.
	peers       int
	peerChanges history
}

// take stores a newer report that was made at that time, when this VM had that
// many in flight.
func (v *loadView) take(r engine.LoadReport, at, now time.Time, inFlight int) {
	peers := v.peers - v.peerChanges.since(at, now)
	outside := float64(r.Active + r.Queued - inFlight - peers)
	if v.received.IsZero() {
		v.outside = outside
	}
	v.outside += (outside - v.outside) * outsideWeight
	v.at = at
	v.report = r
	v.received = now
}

// localTime translates the target's time stamp to this VM's clock. The clocks may
// differ by any amount, but the report with the least delay shows by how much.
func (v *loadView) localTime(at, now time.Time) time.Time {
	if at.IsZero() {
		return now
	}
	offset := now.Sub(at)
	if !v.hasOffset || offset < v.offset {
		v.offset, v.hasOffset = offset, true
	}
	return at.Add(v.offset)
}

func (v *loadView) setPeers(now time.Time, delta int) {
	v.peers += delta
	v.peerChanges.add(now, delta)
}

// others estimates the load from elsewhere: what peers say, and what the reports
// show beyond that, as far as they are trusted. Reports that show less than the
// peers say count for nothing: peers also say what they claim.
func (v *loadView) others(now time.Time, s Settings) float64 {
	return float64(v.peers) + v.trust(now, s)*max(0, v.outside)
}

// trust falls from 1 to 0 as the report ages.
func (v *loadView) trust(now time.Time, s Settings) float64 {
	if v.received.IsZero() {
		return 0
	}
	age := now.Sub(v.at)
	if age <= s.ReportFresh {
		return 1
	}
	return max(0, 1-float64(age-s.ReportFresh)/float64(s.ReportExpiry-s.ReportFresh))
}

// nextChange is when the trust is to be computed again, zero when it is settled.
func (v *loadView) nextChange(now time.Time, s Settings) time.Time {
	if v.received.IsZero() || v.trust(now, s) == 0 {
		return time.Time{}
	}
	fresh := v.at.Add(s.ReportFresh)
	if next := now.Add(agingStep); next.After(fresh) {
		return next
	}
	return fresh.Add(agingStep)
}
