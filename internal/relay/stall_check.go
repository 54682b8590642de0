package relay

import (
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/stall"
)

const (
	// recheckInterval is the time between two queries. Reports lag by about 200 ms.
	recheckInterval = 100 * time.Millisecond
	// reportTimeout bounds one query of a replica.
	reportTimeout = 200 * time.Millisecond
	// maxUnanswered is how many queries in a row the first replica may leave unanswered before it
	// is considered dead.
	maxUnanswered = 2
	// maxStall is how long a stream may stall before it is sent along another path although its
	// first replica responds and reports no fault. Callers leave after two seconds.
	maxStall = 1500 * time.Millisecond
)

// investigate determines why the stream stalls, acts on it, and returns the time until the next
// check.
func (w *stallWatch) investigate(c stallCheck) time.Duration {
	if (c.probeDue || c.reportDue) && w.resendThroughPeer(c) {
		return moveGrace
	}
	if c.probeDue {
		if stopped := w.probeStages(c); len(stopped) > 0 && w.stillStalled(c) {
			return w.moveStream(c, stopped)
		}
	}
	if c.reportDue && w.stillStalled(c) {
		return w.queryFirst(c)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(lateCheckDelay, w.timeouts().Report-time.Since(w.lastEvent))
}

// resendThroughPeer ends the send if its connection is direct and this VM is cut off from all replicas.
// It reports whether it did. The stream then continues through a peer, possibly at the same replica.
func (w *stallWatch) resendThroughPeer(c stallCheck) bool {
	if !w.g.q.direct.Load() || !w.g.h.Reach.CutOff() || !w.stillStalled(c) {
		return false
	}
	w.g.runs.discount()
	if !w.g.prepareResend(nil, 0) {
		return false
	}
	first := w.reservation.Path().First()
	w.g.h.Logger.Info("stream sent again through a peer", zap.String("requestId", w.g.q.RequestID), zap.String("from", first.Address), zap.Duration("stood", c.elapsed))
	w.cancel(&wayLostError{Address: first.Address})
	return true
}

// probeStages probes the stages that no other stream has passed since the stall began, and returns
// the addresses of those that have stopped.
func (w *stallWatch) probeStages(c stallCheck) []string {
	h := w.g.h
	suspicion := h.watches.suspects(w)
	probed, dialled := h.prober.probeAll(suspicion.Suspects)
	stopped := addressesOf(stall.StoppedStages(probed, suspicion.Passed))
	if dialled > 0 || len(stopped) > 0 {
		h.Logger.Info("stages asked", zap.String("requestId", w.g.q.RequestID), zap.Duration("stood", c.elapsed),
			zap.Int("asked", dialled), zap.Int("known", len(probed)-dialled), zap.Int("passed", len(suspicion.Passed)), zap.Strings("stopped", stopped))
	}
	var refused []string
	for _, p := range probed {
		if p.ProbeResult == stall.ProbeRefused {
			refused = append(refused, p.Address)
		}
	}
	if len(refused) > 0 {
		h.watches.notify(w, refused)
	}
	return stopped
}

// queryFirst queries the path's first replica why its stream stalls, and returns the time until the
// next check.
func (w *stallWatch) queryFirst(c stallCheck) time.Duration {
	first := w.reservation.Path().First()
	report, err := w.g.h.reportCache.report(first.Address)
	switch {
	case !w.stillStalled(c):
		return recheckInterval
	case err != nil:
		w.recordNoReport(c, first)
		return recheckInterval
	}
	return w.handleReport(c, first, report)
}

// recordNoReport counts a query that the first replica left unanswered. After maxUnanswered of them
// the stream is sent along another path.
func (w *stallWatch) recordNoReport(c stallCheck, first layers.Replica) {
	w.mu.Lock()
	w.unanswered++
	lost := w.unanswered >= maxUnanswered
	w.mu.Unlock()
	if lost {
		w.resendElsewhere(c, first, "it does not answer")
	}
}

// handleReport acts on what the first replica reports about the stream, and returns the time until
// the next check.
func (w *stallWatch) handleReport(c stallCheck, first layers.Replica, report EngineReport) time.Duration {
	w.mu.Lock()
	w.unanswered = 0
	elapsed := time.Since(w.lastEvent)
	w.mu.Unlock()
	reporter := incarnation.Key{ID: first.ID, Born: report.Born}
	if reporter.Succeeds(first.Key()) {
		w.resendElsewhere(c, first, "it has started again")
		return recheckInterval
	}
	w.g.table.SetPace(first, report.Pace)
	for _, s := range report.Stalled {
		if s.RequestID == w.g.q.RequestID {
			return w.moveStream(c, []string{s.Address})
		}
	}
	if elapsed > maxStall {
		w.resendElsewhere(c, first, "it names no fault")
	}
	return recheckInterval
}
