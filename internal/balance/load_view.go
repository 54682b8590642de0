package balance

import (
	"time"

	"geraniumcroft/internal/engine"
)

// agingStep is the time between two recomputations of an ageing report's trust.
const agingStep = 500 * time.Millisecond

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
	// counted is the reported load less what this VM had in flight at the time.
	counted float64
	// peers is what peers have in flight now, peersCounted what they had when the
	// report was made.
	peers        int
	peersCounted int
	peerChanges  history
}

// take stores a newer report. sent is the history of this VM's own inFlight.
func (v *loadView) take(r engine.LoadReport, now time.Time, inFlight int, sent *history) {
	v.at = v.localTime(r.At, now)
	v.report = r
	v.received = now
	ours := inFlight - sent.since(v.at, now)
	v.counted = max(0, float64(r.Active+r.Queued-ours))
	v.peersCounted = v.peers - v.peerChanges.since(v.at, now)
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

// others estimates the load from elsewhere: the trusted part of the report with
// what peers changed since, and for the rest what peers say alone.
func (v *loadView) others(now time.Time, s Settings) float64 {
	trust := v.trust(now, s)
	reported := v.counted + float64(v.peers-v.peersCounted)
	return max(0, trust*reported+(1-trust)*float64(v.peers))
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
