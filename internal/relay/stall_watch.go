package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/stall"
)

const (
	// firstPatience is how long a stream may take to its first event before it is asked why.
	firstPatience = 300 * time.Millisecond
	// askAgain is the pause between two questions; reports lag by some 200 ms.
	askAgain = 100 * time.Millisecond
	// askTimeout bounds a question.
	askTimeout = 200 * time.Millisecond
	// moveTimeout bounds the order to take another path.
	moveTimeout = 300 * time.Millisecond
	// movePatience is how long a moved stream may take: the new stage reads all tokens
	// so far first.
	movePatience = 600 * time.Millisecond
	// maxUnanswered is how many questions in a row the first replica may leave without an
	// answer before it is taken for dead.
	maxUnanswered = 2
	// longStall is when a stream is sent elsewhere though its first replica answers and
	// names no fault. Callers leave after two seconds.
	longStall = 1500 * time.Millisecond
	// maxStageRounds is how often the stages are asked in one pause: a stage may end just after
	// it was passed or has answered.
	maxStageRounds = 2
	// wakeLate is by how much a watch may be late before this VM is taken for the one that stood
	// still; what has arrived meanwhile is read first.
	wakeLate  = 50 * time.Millisecond
	readFirst = 20 * time.Millisecond
	// maxOrders bounds the orders to move in one pause; each may name one more stage that is gone.
	maxOrders = 2
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
	pace   stall.Pace
	// movesThen are the moves at the last event: a pause with a move says nothing of the pace.
	movesThen int32
	unheard   int
	rounds    int
	checking  bool
	hinted    bool
	stopped   bool
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
	w.reset(w.patience().Ask)
}

// patience is that with the stream as it runs now. w.mu is held.
func (w *stallWatch) patience() stall.Patience {
	if w.events == 0 {
		return stall.Patience{Ask: firstPatience, Report: firstPatience}
	}
	return stall.PatienceOf(w.g.q.profile.Gap, w.pace)
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
	stages := make([]stall.Stage, 0, len(path))
	for _, stage := range path {
		stages = append(stages, stall.Stage{Address: stage.Replica.Address, DataCentre: stage.Replica.DataCentre})
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return stall.Stream{Last: w.last, Pace: w.pace.Mean(), Stages: stages}
}

func (w *stallWatch) passesAny(addresses []string) bool {
	return slices.ContainsFunc(w.reservation.Path(), func(s layers.Stage) bool { return slices.Contains(addresses, s.Replica.Address) })
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
	p.stages = w.hinted || p.stood >= patience.Ask && w.rounds < maxStageRounds
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

// look finds out why the stream stands still, acts on it, and returns when to look again.
func (w *stallWatch) look(p pause) time.Duration {
	if p.stages {
		if stopped := w.askStages(p); len(stopped) > 0 && w.still(p) {
			return w.move(p, addressesOf(stopped))
		}
	}
	if p.report && w.still(p) {
		return w.askFirst(p)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(readFirst, w.patience().Report-time.Since(w.last))
}

// askStages asks the stages that no other stream has passed since, and returns those that have
// stopped.
func (w *stallWatch) askStages(p pause) []stall.Stage {
	h := w.g.h
	suspicion := h.watches.suspects(w)
	asked := h.prober.ask(suspicion.Suspects)
	stopped := stall.Stopped(asked, suspicion.Passed)
	if len(asked) > 0 {
		h.Logger.Info("stages asked", zap.String("requestId", w.g.q.RequestID), zap.Duration("stood", p.stood),
			zap.Int("asked", len(asked)), zap.Int("passed", len(suspicion.Passed)), zap.Strings("stopped", addressesOf(stopped)))
	}
	var gone []stall.Stage
	for _, a := range asked {
		if a.Answer == stall.AnswerRefused {
			gone = append(gone, a.Stage)
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
	w.g.table.Pace(first, report.Pace)
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

// move takes the stream round the stages that stopped, and returns when to look again: to other
// holders of their layers nearby, else along another path from its last event on, else to holders
// far away. If none has room it asks again.
func (w *stallWatch) move(p pause, stopped []string) time.Duration {
	path := w.reservation.Path()
	for _, address := range stopped {
		w.g.table.Suspect(w.g.replicaAt(path, address))
	}
	const why = "a stage of its path stopped"
	fault := w.g.replicaAt(path, stopped[0])
	if w.detour(path.First(), stopped, true) || w.elsewhere(p, fault, why) || w.detour(path.First(), stopped, false) {
		return movePatience
	}
	return askAgain
}

// detour moves the stream without sending it again, and reports whether it did. An order that is
// refused as one more stage is gone is given again without that one.
func (w *stallWatch) detour(first layers.Replica, stopped []string, near bool) bool {
	for range maxOrders {
		path, err := w.reservation.Detour(stopped, int(w.g.events.Load()), near)
		if err != nil {
			return false
		}
		err = w.order(first, path, stopped, near)
		var refused *RepathError
		switch {
		case err == nil:
			return true
		case !errors.As(err, &refused) || refused.Address == "":
			return false
		}
		w.g.table.Suspect(w.g.replicaAt(path, refused.Address))
		stopped = append(slices.Clone(stopped), refused.Address)
	}
	return false
}

// order gives the order to move.
func (w *stallWatch) order(first layers.Replica, path layers.Path, stopped []string, near bool) error {
	w.g.q.progress.moves.Add(1)
	ctx, cancel := context.WithTimeout(w.ctx, moveTimeout)
	defer cancel()
	err := w.g.h.Engines.Repath(ctx, first, w.g.q.RequestID, path)
	w.g.h.Logger.Info("stream moved", zap.String("requestId", w.g.q.RequestID), zap.Strings("from", stopped),
		zap.Bool("near", near), zap.Stringer("path", path), zap.NamedError("failed", err))
	return err
}

// elsewhere ends the send if the stream can go on along another path, and reports
// whether it did. If it cannot, the stream is left to its replica, which may yet go on
// with it: silence alone is no reason to cut an answer off.
func (w *stallWatch) elsewhere(p pause, stopped layers.Replica, why string) bool {
	w.g.table.Suspect(stopped)
	if !w.still(p) || !w.g.prepare(stopped) {
		return false
	}
	w.g.h.Logger.Info("stream sent elsewhere", zap.String("requestId", w.g.q.RequestID), zap.String("from", stopped.Address), zap.String("why", why))
	w.cancel(&stallError{Replica: stopped, Why: why})
	return true
}
