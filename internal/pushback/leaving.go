package pushback

import (
	"go.uber.org/zap"

	"geraniumcroft/internal/incarnation"
)

// OnLeaving sets the function that is called when a replica has announced that it is leaving, to this VM
// or to another one. Repeated announcements cause no further calls. It is called without a lock
// held. OnLeaving must be called before the ledger is used.
func (l *Ledger) OnLeaving(f func(incarnation.Key)) { l.onLeaving = f }

// Leaving reports whether a replica has announced that it is leaving.
func (l *Ledger) Leaving(replica incarnation.Key) bool {
	leaving := false
	l.withState(replica, func(s *state) { leaving = s.leaving })
	return leaving
}

// startsLeaving marks a replica as leaving and reports whether it was not marked before. The caller must
// hold l.mu.
func (l *Ledger) startsLeaving(key incarnation.Key, s *state, by string) bool {
	if s.leaving {
		return false
	}
	s.leaving = true
	l.updateActive()
	l.logger.Info("replica says that it leaves", zap.Stringer("replica", key), zap.String("by", by))
	return true
}
