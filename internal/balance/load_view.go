package balance

import (
	"time"

	"geraniumcroft/internal/engine"
)

const (
	// trustUpdateInterval is the time between two computations of the trust in an ageing
	// report.
	trustUpdateInterval = 500 * time.Millisecond
	// externalWeight is the weight of the newest report in the average of the external load.
	// A single report is wrong by what started and ended while it was under way. VMs that
	// react to this error all choose the same targets, see docs/design/target-choice.md.
	externalWeight = 0.25
)

// loadView estimates the load of a target that does not come from this VM.
type loadView struct {
	report engine.LoadReport
	// reportedAt is the report's time stamp on this VM's clock, received is when it arrived.
	reportedAt time.Time
	received   time.Time
	// clockOffset is the smallest observed difference between this VM's clock at the receipt
	// and the target's clock at the report: the difference of the clocks plus the least
	// delay.
	clockOffset    time.Duration
	hasClockOffset bool
	// external is the average reported load that neither this VM nor its peers had in flight
	// at that time: other users of the target, and peers whose counts are missing.
	external float64
	// peers is what peers report to have in flight now.
	peers       int
	peerChanges history
}

// applyReport stores a report made at reportedAt, when this VM had inFlight requests at the
// target.
func (v *loadView) applyReport(r engine.LoadReport, reportedAt, now time.Time, inFlight int) {
	peers := v.peers - v.peerChanges.since(reportedAt, now)
	external := float64(r.Active + r.Queued - inFlight - peers)
	if v.received.IsZero() {
		v.external = external
	}
	v.external += (external - v.external) * externalWeight
	v.reportedAt = reportedAt
	v.report = r
	v.received = now
}

// localTime converts the target's time stamp to this VM's clock. The clocks may differ by any
// amount; the report with the least delay shows by how much.
func (v *loadView) localTime(at, now time.Time) time.Time {
	if at.IsZero() {
		return now
	}
	clockOffset := now.Sub(at)
	if !v.hasClockOffset || clockOffset < v.clockOffset {
		v.clockOffset, v.hasClockOffset = clockOffset, true
	}
	return at.Add(v.clockOffset)
}

// addPeerRequests adds delta to what peers have in flight.
func (v *loadView) addPeerRequests(now time.Time, delta int) {
	v.peers += delta
	v.peerChanges.add(now, delta)
}

// others estimates the load that does not come from this VM: the counts of the peers, and
// what the reports show beyond them, weighted by the trust in the reports. Reports that show
// less than the peers' counts have no effect, because peers also count slots that they
// claim.
func (v *loadView) others(now time.Time, s Settings) float64 {
	return float64(v.peers) + v.trust(now, s)*max(0, v.external)
}

// trust returns how far the report is trusted. It falls from 1 to 0 as the report ages.
func (v *loadView) trust(now time.Time, s Settings) float64 {
	if v.received.IsZero() {
		return 0
	}
	age := now.Sub(v.reportedAt)
	if age <= s.ReportFresh {
		return 1
	}
	return max(0, 1-float64(age-s.ReportFresh)/float64(s.ReportExpiry-s.ReportFresh))
}

// nextTrustChange returns when the trust must be computed again, zero if it stays at 0.
func (v *loadView) nextTrustChange(now time.Time, s Settings) time.Time {
	if v.received.IsZero() || v.trust(now, s) == 0 {
		return time.Time{}
	}
	fresh := v.reportedAt.Add(s.ReportFresh)
	if next := now.Add(trustUpdateInterval); next.After(fresh) {
		return next
	}
	return fresh.Add(trustUpdateInterval)
}
