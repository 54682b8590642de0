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
)

// departure is the end of a replica's entry.
type departure struct {
	key incarnation.Key
	at  time.Time
}

// restoredEntry is an entry that the store's copy has of a replica that had left or drained.
type restoredEntry struct {
	row []byte
	// draining says that the replica was draining, else its entry was gone.
	draining bool
	until    time.Time
}

// restoredEntries holds back what the store says of replicas that had left or drained before it came
// back from an older copy: requests sent to them would be lost. An entry counts again once it is
// rewritten, or has stood for restoredEntryTTL. It is not safe for concurrent use.
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
		if entry, present := decoded[id]; !present || !bytes.Equal(entry.row, known.row) {
			delete(s.entries, id)
		}
	}
	if era > s.era && len(before) > 0 {
		s.beginEra(decoded, before, now)
	}
	s.era = max(s.era, era)
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

func (s *restoredEntries) hold(id string, entry restoredEntry) {
	s.entries[id] = entry
	s.logger.Info("entry of the store's older copy held back", zap.String("replica", shortID(id)), zap.Bool("draining", entry.draining))
}

// recordDeparture records that a replica has left.
func (s *restoredEntries) recordDeparture(r relay.Replica, now time.Time) {
	s.departures[r.ID] = departure{key: r.Key(), at: now}
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
		s.logger.Info("entry of the store's older copy counts, as it still stands", zap.String("replica", shortID(id)))
	}
	return expired
}
