package pushback

import (
	"go.uber.org/zap"

	"geraniumcroft/internal/incarnation"
)

// OnLeaving sets the function that is told of a replica which says that it leaves, by an answer to this
// VM or by the word of another one. It is set before the ledger is used.
func (l *Ledger) OnLeaving(f func(incarnation.Key)) { l.onLeaving = f }

// Leaving reports whether a replica has said that it leaves.
func (l *Ledger) Leaving(replica incarnation.Key) bool {
	leaving := false
	l.of(replica, func(s *state) { leaving = s.leaving })
	return leaving
}

// leaves takes that a replica leaves, and reports whether that is new. l.mu is held.
func (l *Ledger) leaves(key incarnation.Key, s *state, by string) bool {
	if s.leaving {
		return false
	}
	s.leaving = true
	l.count()
	l.logger.Info("replica says that it leaves", zap.Stringer("replica", key), zap.String("by", by))
	return true
}
