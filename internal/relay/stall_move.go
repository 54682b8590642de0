package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/stall"
)

const (
	// moveTimeout bounds the order to take another path.
	moveTimeout = 300 * time.Millisecond
	// moveGrace is the time that a moved stream is given before it is checked again: the new stage
	// first reads all tokens so far.
	moveGrace = 600 * time.Millisecond
	// maxPathLoad is how full the replicas of a path may be that a stream takes instead of a late
	// move.
	maxPathLoad = 0.6
	// minReadDivisor sets the least time that holders are given to read the tokens: the longest
	// accepted gap divided by this.
	minReadDivisor = 4
	// maxMoveOrders bounds the orders to move in one call of reroute. Each refusal may name one
	// more stage that is gone.
	maxMoveOrders = 2
)

// moveStream moves the stream past the stages that stopped, and returns the time until the next
// check. It tries other holders of their layers nearby, then another path from the last event on,
// then holders far away. If none has capacity, the check is repeated. If the holders nearby cannot
// read the tokens of all streams that move to them in time, the streams in excess first try another
// path, if one has capacity to spare: reading the whole prompt again costs a full fleet more than a
// late move does.
func (w *stallWatch) moveStream(c stallCheck, stopped []string) time.Duration {
	path := w.reservation.Path()
	for _, address := range stopped {
		w.g.table.Suspect(w.g.replicaAt(path, address))
	}
	const why = "a stage of its path stopped"
	fault := w.g.replicaAt(path, stopped[0])
	if avoided := w.holdersToAvoid(stopped); len(avoided) > 0 && w.resendAvoiding(c, fault, why, avoided, maxPathLoad) {
		return moveGrace
	}
	if w.reroute(path.First(), stopped, true) || w.resendElsewhere(c, fault, why) || w.reroute(path.First(), stopped, false) {
		return moveGrace
	}
	return recheckInterval
}

// holdersToAvoid returns the holders nearby that this stream leaves to others because they cannot
// read the tokens of all streams in time. The streams that leave are chosen at random, since VMs do
// not know of each other's streams.
func (w *stallWatch) holdersToAvoid(stopped []string) []incarnation.Key {
	gap := stall.MaxGap(w.g.q.profile.Gap)
	w.mu.Lock()
	remaining := gap - time.Since(w.lastEvent)
	w.mu.Unlock()
	capacity, ok := w.reservation.DetourCapacity(stopped, int(w.g.events.Load()), max(remaining, gap/minReadDivisor))
	if !ok || rand.Float64() < capacity.MovableFraction {
		return nil
	}
	w.g.h.Logger.Info("stream leaves the holders nearby to others", zap.String("requestId", w.g.q.RequestID),
		zap.Float64("inTime", capacity.MovableFraction), zap.Stringers("holders", capacity.Holders))
	return capacity.Holders
}

// reroute moves the stream without sending it again, and reports whether it did. An order that is
// refused because one more stage is gone is repeated without that stage.
func (w *stallWatch) reroute(first layers.Replica, stopped []string, near bool) bool {
	for range maxMoveOrders {
		path, err := w.reservation.Detour(stopped, int(w.g.events.Load()), near)
		if err != nil {
			return false
		}
		err = w.orderMove(first, path, stopped, near)
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

// orderMove orders the first replica to move the stream.
func (w *stallWatch) orderMove(first layers.Replica, path layers.Path, stopped []string, near bool) error {
	w.g.q.progress.moves.Add(1)
	ctx, cancel := context.WithTimeout(w.ctx, moveTimeout)
	defer cancel()
	err := w.g.h.Engines.Repath(ctx, first, w.g.q.RequestID, path)
	w.g.h.Logger.Info("stream moved", zap.String("requestId", w.g.q.RequestID), zap.Strings("from", stopped),
		zap.Bool("near", near), zap.Stringer("path", path), zap.NamedError("failed", err))
	return err
}

// resendElsewhere ends the send if the stream can continue along another path, and reports whether
// it did. If it cannot, the stream is left with its replica, which may still continue it: a stall
// alone is no reason to cut off a response.
func (w *stallWatch) resendElsewhere(c stallCheck, stopped layers.Replica, why string) bool {
	return w.resendAvoiding(c, stopped, why, nil, 0)
}

// resendAvoiding is resendElsewhere along a path that contains none of the excluded replicas and
// none that is fuller than maxUsage, 0 for no limit.
func (w *stallWatch) resendAvoiding(c stallCheck, stopped layers.Replica, why string, exclude []incarnation.Key, maxUsage float64) bool {
	w.g.table.Suspect(stopped)
	if !w.stillStalled(c) || !w.g.prepareResend(append(exclude, stopped.Key()), maxUsage) {
		return false
	}
	w.g.h.Logger.Info("stream sent elsewhere", zap.String("requestId", w.g.q.RequestID), zap.String("from", stopped.Address), zap.String("why", why))
	w.cancel(&stallError{Replica: stopped, Why: why})
	return true
}
