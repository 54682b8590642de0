package relay

import (
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/stall"
)

const (
	// askAgain is the pause between two questions; reports lag by some 200 ms.
	askAgain = 100 * time.Millisecond
	// askTimeout bounds a question.
	askTimeout = 200 * time.Millisecond
	// maxUnanswered is how many questions in a row the first replica may leave without an
	// answer before it is taken for dead.
	maxUnanswered = 2
	// longStall is when a stream is sent elsewhere though its first replica answers and
	// names no fault. Callers leave after two seconds.
	longStall = 1500 * time.Millisecond
)

// look finds out why the stream stands still, acts on it, and returns when to look again.
func (w *stallWatch) look(p pause) time.Duration {
	if p.stages {
		if stopped := w.askStages(p); len(stopped) > 0 && w.still(p) {
			return w.move(p, stopped)
		}
	}
	if p.report && w.still(p) {
		return w.askFirst(p)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(readFirst, w.patience().Report-time.Since(w.last))
}

// askStages asks the stages that no other stream has passed since, and returns the addresses of
// those that have stopped.
func (w *stallWatch) askStages(p pause) []string {
	h := w.g.h
	suspicion := h.watches.suspects(w)
	asked, dialled := h.prober.ask(suspicion.Suspects)
	stopped := addressesOf(stall.StoppedStages(asked, suspicion.Passed))
	if dialled > 0 || len(stopped) > 0 {
		h.Logger.Info("stages asked", zap.String("requestId", w.g.q.RequestID), zap.Duration("stood", p.stood),
			zap.Int("asked", dialled), zap.Int("known", len(asked)-dialled), zap.Int("passed", len(suspicion.Passed)), zap.Strings("stopped", stopped))
	}
	var gone []string
	for _, a := range asked {
		if a.ProbeResult == stall.ProbeRefused {
			gone = append(gone, a.Address)
		}
	}
	if len(gone) > 0 {
		h.watches.tell(w, gone)
	}
	return stopped
}

// askFirst asks the first replica why its stream stands still.
func (w *stallWatch) askFirst(p pause) time.Duration {
	first := w.reservation.Path().First()
	report, err := w.g.h.asking.report(first.Address)
	switch {
	case !w.still(p):
		return askAgain
	case err != nil:
		w.noAnswer(p, first)
		return askAgain
	}
	return w.judge(p, first, report)
}

// noAnswer counts a question that the first replica left without an answer, and leaves
// the replica after the last one it may.
func (w *stallWatch) noAnswer(p pause, first layers.Replica) {
	w.mu.Lock()
	w.unheard++
	lost := w.unheard >= maxUnanswered
	w.mu.Unlock()
	if lost {
		w.elsewhere(p, first, "it does not answer")
	}
}

// judge acts on what the first replica says of the stream, and returns when to look again.
func (w *stallWatch) judge(p pause, first layers.Replica, report EngineReport) time.Duration {
	w.mu.Lock()
	w.unheard = 0
	stood := time.Since(w.last)
	w.mu.Unlock()
	reporter := incarnation.Key{ID: first.ID, Born: report.Born}
	if reporter.Succeeds(first.Key()) {
		w.elsewhere(p, first, "it has started again")
		return askAgain
	}
	w.g.table.SetPace(first, report.Pace)
	for _, s := range report.Stalled {
		if s.RequestID == w.g.q.RequestID {
			return w.move(p, []string{s.Address})
		}
	}
	if stood > longStall {
		w.elsewhere(p, first, "it names no fault")
	}
	return askAgain
}
