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
	// firstPatience is how long a stream may take to its first event before it is asked why.
	firstPatience = 300 * time.Millisecond
	// maxStageRounds is how often the stages are asked in one pause: a stage may end just after
	// it was passed or has answered.
	maxStageRounds = 2
	// wakeLate is by how much a watch may be late before this VM is taken for the one that stood
	// still; what has arrived meanwhile is read first.
	wakeLate  = 50 * time.Millisecond
	readFirst = 20 * time.Millisecond
)

// stallWatch looks after one send. When its stream stands still it asks the stages that may have
// stopped for a connection, and then the path's first replica, which names a stage that stopped.
// It moves the stream to other holders of those stages' layers. If nothing helps it ends the send,
// so that the stream goes on elsewhere before the caller leaves.
type stallWatch struct {
	g           *generation
	ctx         context.Context
	cancel      context.CancelCauseFunc
	reservation *layers.Reservation

	mu    sync.Mutex // guards the fields below
	timer *time.Timer
	// due is when the timer fires, events how many events came.
	due    time.Time
	last   time.Time
	events int
	pace   stall.GapStats
	// movesThen are the moves at the last event: a pause with a move says nothing of the pace.
	movesThen int32
	unheard   int
	rounds    int
	checking  bool
	hinted    bool
	stopped   bool
	// stages are those of the path that begins at stagesOf.
	stages   []stall.Stage
	stagesOf *layers.Stage
}

func newStallWatch(ctx context.Context, g *generation, r *layers.Reservation, cancel context.CancelCauseFunc) *stallWatch {
	now := time.Now()
	w := &stallWatch{g: g, ctx: ctx, cancel: cancel, reservation: r, last: now, due: now.Add(firstPatience), pace: g.pace, movesThen: g.q.progress.moves.Load()}
	w.timer = time.AfterFunc(firstPatience, w.check)
	g.h.watches.add(w)
	return w
}

// moved says that an event came.
func (w *stallWatch) moved() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	moves := w.g.q.progress.moves.Load()
	if w.events > 0 && moves == w.movesThen {
		w.pace.Add(now.Sub(w.last))
		w.g.pace = w.pace
	}
	w.last, w.movesThen, w.rounds, w.hinted = now, moves, 0, false
	w.events++
	w.reset(w.patience().Probe)
}

// patience is that with the stream as it runs now. w.mu is held.
func (w *stallWatch) patience() stall.Timeouts {
	if w.events == 0 {
		return stall.Timeouts{Probe: firstPatience, Report: firstPatience}
	}
	return stall.TimeoutsFor(w.g.q.profile.Gap, w.pace)
}

// reset sets the timer. w.mu is held.
func (w *stallWatch) reset(pause time.Duration) {
	w.due = time.Now().Add(pause)
	w.timer.Reset(pause)
}

func (w *stallWatch) stop() {
	w.mu.Lock()
	w.stopped = true
	w.timer.Stop()
	w.mu.Unlock()
	w.g.h.watches.remove(w)
}

// stream is what the watch has seen.
func (w *stallWatch) stream() stall.Stream {
	path := w.reservation.Path()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stagesOf != &path[0] {
		w.stagesOf, w.stages = &path[0], stagesOf(path)
	}
	return stall.Stream{LastEvent: w.last, MeanGap: w.pace.Mean(), Stages: w.stages}
}

func stagesOf(path layers.Path) []stall.Stage {
	stages := make([]stall.Stage, 0, len(path))
	for i, stage := range path {
		stages = append(stages, stall.Stage{Address: stage.Replica.Address, DataCentre: stage.Replica.DataCentre, Entry: i == 0})
	}
	return stages
}

func (w *stallWatch) passesAny(addresses []string) bool {
	path := w.reservation.Path()
	return slices.ContainsFunc(addresses, func(address string) bool {
		_, on := path.ReplicaAt(address)
		return on
	})
}

// wake makes the watch look at its stages at once: one of them is gone.
func (w *stallWatch) wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.checking || w.events == 0 {
		return
	}
	w.hinted = true
	w.reset(0)
}

// pause is one look at a stream that stands still.
type pause struct {
	// events is how many events had come when the look began.
	events int
	stood  time.Duration
	// stages says that the stages are to be asked, report that the first replica is.
	stages, report bool
}

// begin starts a look. Ok is false if there is nothing to look at now.
func (w *stallWatch) begin() (p pause, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	switch {
	case w.stopped || w.ctx.Err() != nil:
		return p, false
	case w.checking || now.Sub(w.due) > wakeLate:
		w.reset(readFirst)
		return p, false
	}
	patience := w.patience()
	p = pause{events: w.events, stood: now.Sub(w.last)}
	p.stages = w.hinted || p.stood >= patience.Probe && w.rounds < maxStageRounds
	p.report = p.stood >= patience.Report
	if p.stages {
		w.rounds++
	}
	w.checking, w.hinted = true, false
	return p, true
}

// end arms the timer for the next look, unless an event came: then it is armed for that.
func (w *stallWatch) end(p pause, next time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checking = false
	if !w.stopped && w.events == p.events {
		w.reset(next)
	}
}

// still reports whether the stream stands still yet.
func (w *stallWatch) still(p pause) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.stopped && w.events == p.events && w.ctx.Err() == nil
}

// check looks at the stream.
func (w *stallWatch) check() {
	p, ok := w.begin()
	if !ok {
		return
	}
	w.end(p, w.look(p))
}
