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
	// movePatience is how long a moved stream may take: the new stage reads all tokens
	// so far first.
	movePatience = 600 * time.Millisecond
	// roomyPath is how full the replicas of a path may be that a stream takes in place of a late move.
	roomyPath = 0.6
	// leastLeft is the least part of the accepted pause that holders are given to read in: one in so
	// many.
	leastLeft = 4
	// maxOrders bounds the orders to move in one pause; each may name one more stage that is gone.
	maxOrders = 2
)

// move takes the stream round the stages that stopped, and returns when to look again: to other
// holders of their layers nearby, else along another path from its last event on, else to holders
// far away. If none has room it asks again. Where the holders nearby can't read all the streams
// that come to them in time, the rest go along another path first, if one has room to spare: reading
// the whole prompt anew takes more of a fleet that is full than a late move does.
func (w *stallWatch) move(p pause, stopped []string) time.Duration {
	path := w.reservation.Path()
	for _, address := range stopped {
		w.g.table.Suspect(w.g.replicaAt(path, address))
	}
	const why = "a stage of its path stopped"
	fault := w.g.replicaAt(path, stopped[0])
	if crowded := w.crowded(stopped); len(crowded) > 0 && w.leave(p, fault, why, crowded, roomyPath) {
		return movePatience
	}
	if w.detour(path.First(), stopped, true) || w.elsewhere(p, fault, why) || w.detour(path.First(), stopped, false) {
		return movePatience
	}
	return askAgain
}

// crowded returns the holders nearby that this stream leaves to others, as they can't read all in
// time; which streams do is left to chance, as the VMs don't know of each other's.
func (w *stallWatch) crowded(stopped []string) []incarnation.Key {
	gap := stall.MaxGap(w.g.q.profile.Gap)
	w.mu.Lock()
	left := gap - time.Since(w.last)
	w.mu.Unlock()
	crowd, ok := w.reservation.DetourCapacity(stopped, int(w.g.events.Load()), max(left, gap/leastLeft))
	if !ok || rand.Float64() < crowd.MovableFraction {
		return nil
	}
	w.g.h.Logger.Info("stream leaves the holders nearby to others", zap.String("requestId", w.g.q.RequestID),
		zap.Float64("inTime", crowd.MovableFraction), zap.Stringers("holders", crowd.Holders))
	return crowd.Holders
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
	return w.leave(p, stopped, why, nil, 0)
}

// leave is elsewhere, along a path without some more replicas and without those that are fuller
// than maxFull, 0 for any.
func (w *stallWatch) leave(p pause, stopped layers.Replica, why string, without []incarnation.Key, maxFull float64) bool {
	w.g.table.Suspect(stopped)
	if !w.still(p) || !w.g.prepare(append(without, stopped.Key()), maxFull) {
		return false
	}
	w.g.h.Logger.Info("stream sent elsewhere", zap.String("requestId", w.g.q.RequestID), zap.String("from", stopped.Address), zap.String("why", why))
	w.cancel(&stallError{Replica: stopped, Why: why})
	return true
}
