package entry

import (
	"bytes"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/relay"
)

const (
	// departureRetention is how long a replica that left is remembered. The store comes back from
	// copies that are some seconds old.
	departureRetention = time.Minute
	// restoredEntryTTL is how long an entry from the store's copy does not count. The platform
	// deletes an entry whose replica was silent for three heartbeats of 1.2 s; one that stands for
	// longer is that of a live replica.
	restoredEntryTTL = 5 * time.Second
	// maxWriteDelay is how long after a replica's departure an entry of it may be a write of before, which
	// the store performed late.
	maxWriteDelay = 10 * time.Second
)

// departure is the end of a replica's entry.
type departure struct {
	key incarnation.Key
	at  time.Time
	// expired says that the entry may have expired in an outage.
	expired bool
}

// restoredEntry is an entry of a replica that had left or drained.
type restoredEntry struct {
	row []byte
	// draining says that the replica was draining, else its entry was gone.
	draining bool
	// late says that the entry may be a late write, else it is from the store's older copy. left is the start
	// of the incarnation that had left.
	late  bool
	left  int64
	until time.Time
}

// endedBy reports whether the present entry of the replica ends the holding back: it is rewritten, or that of
// a later incarnation than the one that had left.
func (e restoredEntry) endedBy(entry decodedEntry) bool {
	if e.late {
		return entry.err == nil && entry.replica.Born > e.left
	}
	return !bytes.Equal(entry.row, e.row)
}

// restoredEntries holds back entries of replicas that had left or drained: those that the store has when
// it comes back from an older copy, and those that appear again right after a departure. Requests sent to
// these replicas would be lost. An entry of an older copy counts again once it is rewritten, and any once
// it has stood for restoredEntryTTL. It is not safe for concurrent use.
type restoredEntries struct {
	logger     *zap.Logger
	era        uint64
	departures map[string]departure
	entries    map[string]restoredEntry
}

func newRestoredEntries(logger *zap.Logger) restoredEntries {
	return restoredEntries{logger: logger, departures: map[string]departure{}, entries: map[string]restoredEntry{}}
}

// update takes over the entries of a version's era. Before are the replicas listed until then. While the
// store is settling, a replica without an entry has not left for certain.
func (s *restoredEntries) update(era uint64, decoded decodedEntries, before map[string]relay.Replica, settling bool, now time.Time) {
	for id, known := range s.entries {
		switch entry, present := decoded[id]; {
		case !present:
			delete(s.entries, id)
		case known.endedBy(entry):
			delete(s.entries, id)
			delete(s.departures, id)
		}
	}
	if era > s.era && len(before) > 0 {
		s.beginEra(decoded, before, now)
	}
	s.era = max(s.era, era)
	s.holdReturned(decoded, before, now)
	for id, previous := range before {
		if _, present := decoded[id]; !present && (!settling || previous.Draining) {
			s.recordDeparture(previous, now)
		}
	}
	s.forgetDepartures(decoded, now)
}

// beginEra finds the entries that the store's copy has of replicas that had left or drained.
func (s *restoredEntries) beginEra(decoded decodedEntries, before map[string]relay.Replica, now time.Time) {
	for id, entry := range decoded {
		if entry.err != nil {
			continue
		}
		previous, listed := before[id]
		left, departed := s.departures[id]
		switch {
		case listed && previous.Draining && !entry.replica.Draining && previous.Born == entry.replica.Born:
			s.hold(id, restoredEntry{row: entry.row, draining: true, until: now.Add(restoredEntryTTL)})
		case !listed && departed && left.key.Born == entry.replica.Born:
			s.hold(id, restoredEntry{row: entry.row, until: now.Add(restoredEntryTTL)})
		}
	}
}

// holdReturned finds the entries of incarnations that have just left, or of earlier ones. Their replicas may be
// back, as after a partition from the store, or the store may have performed a write of before.
func (s *restoredEntries) holdReturned(decoded decodedEntries, before map[string]relay.Replica, now time.Time) {
	for id, left := range s.departures {
		entry, present := decoded[id]
		_, listed := before[id]
		_, held := s.entries[id]
		recent := now.Sub(left.at) < maxWriteDelay
		if !present || entry.err != nil || listed || held || left.expired || !recent || entry.replica.Born > left.key.Born {
			continue
		}
		until := now.Add(restoredEntryTTL)
		if sure := left.at.Add(maxWriteDelay); sure.Before(until) {
			until = sure
		}
		s.hold(id, restoredEntry{row: entry.row, late: true, left: left.key.Born, until: until})
	}
}

func (s *restoredEntries) hold(id string, entry restoredEntry) {
	s.entries[id] = entry
	s.logger.Info("entry of a replica that had left held back", zap.String("replica", shortID(id)), zap.Bool("draining", entry.draining), zap.Bool("late", entry.late))
}

// recordDeparture records that a replica has left.
func (s *restoredEntries) recordDeparture(r relay.Replica, now time.Time) {
	s.departures[r.ID] = departure{key: r.Key(), at: now}
}

// recordExpiry records that a replica has not been back in time after an outage.
func (s *restoredEntries) recordExpiry(r relay.Replica, now time.Time) {
	s.departures[r.ID] = departure{key: r.Key(), at: now, expired: true}
}

// forgetDepartures forgets the replicas that are back, and those that left long ago.
func (s *restoredEntries) forgetDepartures(decoded decodedEntries, now time.Time) {
	for id, left := range s.departures {
		_, present := decoded[id]
		_, held := s.entries[id]
		if present && !held || now.Sub(left.at) > departureRetention {
			delete(s.departures, id)
		}
	}
}

// apply returns the replica as its entry counts now, and false if it does not count.
func (s *restoredEntries) apply(r relay.Replica) (relay.Replica, bool) {
	entry, held := s.entries[r.ID]
	if !held {
		return r, true
	}
	r.Draining = true
	return r, entry.draining
}

// expire ends the holding back of entries that have stood for long enough, and returns their ids.
func (s *restoredEntries) expire(now time.Time) []string {
	var expired []string
	for id, entry := range s.entries {
		if now.Before(entry.until) {
			continue
		}
		delete(s.entries, id)
		delete(s.departures, id)
		expired = append(expired, id)
		s.logger.Info("entry held back counts, as it still stands", zap.String("replica", shortID(id)))
	}
	return expired
}
