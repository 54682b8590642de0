package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/stall"
)

const (
	// firstEventTimeout is how long a stream may take to its first event before the cause is
	// investigated.
	firstEventTimeout = 300 * time.Millisecond
	// maxProbeRounds is how often the stages are probed during one stall. A stage may end just
	// after it was passed or has responded.
	maxProbeRounds = 2
	// maxTimerDelay is how late a check may start before this VM is assumed to have been frozen
	// itself. The check is then repeated after lateCheckDelay, so that events that have arrived
	// meanwhile are read first.
	maxTimerDelay  = 50 * time.Millisecond
	lateCheckDelay = 20 * time.Millisecond
)

// stallWatch monitors one send. When its stream stalls, it probes the stages that may have stopped
// with a connection attempt, and then queries the path's first replica, which names a stage that
// stopped. It moves the stream to other holders of those stages' layers. If nothing helps it ends
// the send, so that the stream continues on another path before the caller leaves.
type stallWatch struct {
	g           *generation
	ctx         context.Context
	cancel      context.CancelCauseFunc
	reservation *layers.Reservation

	mu    sync.Mutex // guards the fields below
	timer *time.Timer
	// due is when the timer fires, lastEvent when the last event arrived or else when the watch
	// began, events the number of events.
	due       time.Time
	lastEvent time.Time
	events    int
	gaps      stall.GapStats
	// movesAtLastEvent is the number of moves at the last event. A pause with a move is not counted
	// as a gap of the stream.
	movesAtLastEvent int32
	// unanswered counts the queries in a row that the first replica did not answer, probeRounds the
	// probes of the stages since the last event.
	unanswered  int
	probeRounds int
	// checking is set during a check, notified if another stream found a stage of the path gone.
	checking bool
	notified bool
	stopped  bool
	// stages are those of the path whose first element stagesOf points to.
	stages   []stall.Stage
	stagesOf *layers.Stage
}

// newStallWatch starts watching a send. The watch ends the send by cancelling it with a *stallError.
func newStallWatch(ctx context.Context, g *generation, r *layers.Reservation, cancel context.CancelCauseFunc) *stallWatch {
	now := time.Now()
	w := &stallWatch{g: g, ctx: ctx, cancel: cancel, reservation: r, lastEvent: now, due: now.Add(firstEventTimeout), gaps: g.gaps, movesAtLastEvent: g.q.progress.moves.Load()}
	w.mu.Lock() // the timer may fire before it is assigned
	w.timer = time.AfterFunc(firstEventTimeout, w.check)
	w.mu.Unlock()
	g.h.watches.add(w)
	return w
}

// eventArrived records an event and restarts the timer.
func (w *stallWatch) eventArrived() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	moves := w.g.q.progress.moves.Load()
	if w.events > 0 && moves == w.movesAtLastEvent {
		w.gaps.Add(now.Sub(w.lastEvent))
		w.g.gaps = w.gaps
	}
	w.lastEvent, w.movesAtLastEvent, w.probeRounds, w.notified = now, moves, 0, false
	w.events++
	w.reset(w.timeouts().Probe)
}

// timeouts returns the timeouts of the stream at its present state. w.mu must be held.
func (w *stallWatch) timeouts() stall.Timeouts {
	if w.events == 0 {
		return stall.Timeouts{Probe: firstEventTimeout, Report: firstEventTimeout}
	}
	return stall.TimeoutsFor(w.g.q.profile.Gap, w.gaps)
}

// reset sets the timer. w.mu must be held.
func (w *stallWatch) reset(delay time.Duration) {
	w.due = time.Now().Add(delay)
	w.timer.Reset(delay)
}

// stop ends the watch.
func (w *stallWatch) stop() {
	w.mu.Lock()
	w.stopped = true
	w.timer.Stop()
	w.mu.Unlock()
	w.g.h.watches.remove(w)
}

// stream returns what the watch has observed of its stream.
func (w *stallWatch) stream() stall.Stream {
	path := w.reservation.Path()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stagesOf != &path[0] {
		w.stagesOf, w.stages = &path[0], stagesOf(path)
	}
	return stall.Stream{LastEvent: w.lastEvent, MeanGap: w.gaps.Mean(), Stages: w.stages}
}

// stagesOf returns the stages of a path.
func stagesOf(path layers.Path) []stall.Stage {
	stages := make([]stall.Stage, 0, len(path))
	for i, stage := range path {
		stages = append(stages, stall.Stage{Address: stage.Replica.Address, DataCentre: stage.Replica.DataCentre, Entry: i == 0})
	}
	return stages
}

// passesAny reports whether the stream's path contains a stage at one of the addresses.
func (w *stallWatch) passesAny(addresses []string) bool {
	path := w.reservation.Path()
	return slices.ContainsFunc(addresses, func(address string) bool {
		_, on := path.ReplicaAt(address)
		return on
	})
}

// checkNow makes the watch probe its stages at once, because one of them is gone.
func (w *stallWatch) checkNow() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.checking || w.events == 0 {
		return
	}
	w.notified = true
	w.reset(0)
}

// stallCheck is one check of a stalled stream.
type stallCheck struct {
	// events is the number of events when the check began, elapsed the time since the last one.
	events  int
	elapsed time.Duration
	// probeDue is set if the stages are to be probed, reportDue if the first replica is to be
	// queried.
	probeDue, reportDue bool
}

// beginCheck starts a check. It returns false if there is nothing to check now.
func (w *stallWatch) beginCheck() (c stallCheck, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	switch {
	case w.stopped || w.ctx.Err() != nil:
		return c, false
	case w.checking || now.Sub(w.due) > maxTimerDelay:
		w.reset(lateCheckDelay)
		return c, false
	}
	timeouts := w.timeouts()
	c = stallCheck{events: w.events, elapsed: now.Sub(w.lastEvent)}
	c.probeDue = w.notified || c.elapsed >= timeouts.Probe && w.probeRounds < maxProbeRounds
	c.reportDue = c.elapsed >= timeouts.Report
	if c.probeDue {
		w.probeRounds++
	}
	w.checking, w.notified = true, false
	return c, true
}

// endCheck arms the timer for the next check, unless an event has arrived, which has armed it
// already.
func (w *stallWatch) endCheck(c stallCheck, next time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checking = false
	if !w.stopped && w.events == c.events {
		w.reset(next)
	}
}

// stillStalled reports whether no event has arrived since the check began, and the send has not
// ended.
func (w *stallWatch) stillStalled(c stallCheck) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.stopped && w.events == c.events && w.ctx.Err() == nil
}

// check checks the stream once.
func (w *stallWatch) check() {
	c, ok := w.beginCheck()
	if !ok {
		return
	}
	w.endCheck(c, w.investigate(c))
}
