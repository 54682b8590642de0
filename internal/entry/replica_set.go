package entry

import (
	"errors"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/relay"
)

// replicaSet holds the replicas that this VM knows: those of the discovery entries, updated by
// the replicas' own reports, and those that may be listed again after a store outage. It is not safe
// for concurrent use; the view's lock guards it.
type replicaSet struct {
	decode func(id string, row []byte) (relay.Replica, error)
	logger *zap.Logger
	// onRestart is called with the new incarnation of a replica that has restarted.
	onRestart func(relay.Replica)
	// onStartKnown is called when the start of an incarnation becomes known that was listed without one.
	onStartKnown func(before, now incarnation.Key)

	incarnations *incarnation.Tracker
	// listed holds the replicas of usable entries, by id.
	listed map[string]relay.Replica
	// superseded holds entries that an earlier incarnation wrote over its successor's, by id.
	superseded map[string]relay.Replica
	// vanished holds replicas that are no longer listed but may be listed again, because their
	// entries expired during a store outage.
	vanished map[string]relay.Replica
	unusable unusableEntries
	restored restoredEntries
	order    entryOrder
	// decoded holds the rows of the last update.
	decoded decodedEntries
}

func newReplicaSet(decode func(id string, row []byte) (relay.Replica, error), logger *zap.Logger, onRestart func(relay.Replica)) *replicaSet {
	return &replicaSet{
		decode: decode, logger: logger, onRestart: onRestart, onStartKnown: func(_, _ incarnation.Key) {}, incarnations: incarnation.NewTracker(),
		listed: map[string]relay.Replica{}, superseded: map[string]relay.Replica{}, vanished: map[string]relay.Replica{},
		unusable: newUnusableEntries(logger), restored: newRestoredEntries(logger), order: newEntryOrder(logger),
	}
}

// update replaces the entries by the rows of a version. While the store is settling after an
// outage, replicas without a row are kept as vanished.
func (s *replicaSet) update(rows map[string][]byte, version platform.Version, settling bool, now time.Time) {
	before := s.listed
	s.listed, s.superseded = make(map[string]relay.Replica, len(rows)), map[string]relay.Replica{}
	unusable := map[string]error{}
	s.decoded = s.decoded.next(rows, s.decode)
	s.restored.update(version.Era, s.decoded, before, settling, now)
	for id, entry := range s.decoded {
		if entry.err != nil {
			unusable[id] = entry.err
			continue
		}
		if s.lacksStart(entry.replica) {
			unusable[id] = &relay.EntryError{Field: "born", Want: "the start, which the replica has named before"}
			continue
		}
		if r, counts := s.restored.apply(entry.replica); counts {
			s.applyEntry(r, before, now)
		}
	}
	s.unusable.replace(unusable, zap.Stringer("version", version))
	kept := s.keepVanished(before, rows, settling)
	s.reportChanges(before, kept, version)
	s.order.forget(s.decoded, now)
	s.incarnations.Forget(func(id string) bool { _, ok := s.listed[id]; return ok }, now)
}

// lacksStart reports whether an entry lacks the start that its replica has named in an entry before. Such an
// entry is of another writer.
func (s *replicaSet) lacksStart(r relay.Replica) bool {
	return r.Born == incarnation.BornMissing && s.order.newest[r.ID].key.Born > 0
}

// applyEntry lists the replica of one entry. An entry that an earlier incarnation wrote late does
// not describe its successor, which is listed as before, or as its reports describe it. One that the
// present incarnation wrote late changes nothing.
func (s *replicaSet) applyEntry(r relay.Replica, before map[string]relay.Replica, now time.Time) {
	observed := s.observe(r.Key(), "entry", now)
	known, isKnown := before[r.ID]
	if !observed.Superseded {
		r.Born = observed.Key.Born
		late := s.order.isLate(r, now)
		r.Heartbeat = 0 // it alone is no change of the replica
		switch {
		case !late:
			s.listed[r.ID] = r
		case isKnown:
			s.listed[r.ID] = known
		}
		return
	}
	r.Heartbeat = 0
	s.superseded[r.ID] = r
	successor := known
	if !isKnown {
		successor = r
		successor.Replica = r.Replica.NextIncarnation(observed.Key)
	}
	s.listed[r.ID] = successor
}

// observe passes an incarnation that an entry or a report named to the tracker, and logs faulty
// starts and restarts. From names the source for the log.
func (s *replicaSet) observe(k incarnation.Key, from string, now time.Time) incarnation.Observation {
	observed := s.incarnations.Observe(k, now)
	if observed.FirstReport {
		s.logger.Warn("start of a replica not as it should be", zap.Stringer("replica", k), zap.String("from", from),
			zap.String("fault", string(observed.Fault)), zap.Stringer("takenFor", observed.Key))
	}
	if observed.Restarted {
		s.logger.Info("replica has started again", zap.Stringer("replica", observed.Key), zap.Stringer("before", observed.Previous), zap.String("from", from))
	}
	return observed
}

// observeReport applies the incarnation that a replica's own report named; it may be seconds
// ahead of the entry. It returns the incarnation for which the report counts, whether that one is
// superseded, and whether the set has changed.
func (s *replicaSet) observeReport(k incarnation.Key, now time.Time) (observed incarnation.Observation, changed bool) {
	observed = s.observe(k, "report", now)
	for _, replicas := range []map[string]relay.Replica{s.listed, s.vanished} {
		r, ok := replicas[k.ID]
		if !ok || r.Born == observed.Key.Born {
			continue
		}
		if observed.Key.Succeeds(r.Key()) || observed.Restarted {
			r.Replica = r.Replica.NextIncarnation(observed.Key)
			s.onRestart(r)
		} else {
			s.onStartKnown(r.Key(), observed.Key)
			r.Born = observed.Key.Born // the entry gave no start
		}
		replicas[k.ID] = r
		changed = true
	}
	return observed, changed
}

// dropExpired does nothing while the store is settling. Afterwards it drops the vanished replicas and
// lists those whose restored or late entries have stood for long enough. It replaces successors by the earlier
// incarnation whose entry still stands if the tracker no longer counts that one as superseded, because
// nothing has come from the successor for too long. It reports whether the set has changed.
func (s *replicaSet) dropExpired(settling bool, now time.Time) bool {
	if settling {
		return false
	}
	changed := len(s.vanished) > 0
	if changed {
		s.logger.Info("vanished replicas dropped", zap.Int("replicas", len(s.vanished)))
		for _, r := range s.vanished {
			s.restored.recordExpiry(r, now)
		}
		clear(s.vanished)
	}
	for _, id := range slices.Concat(s.restored.expire(now), s.order.standing(now)) {
		if entry, present := s.decoded[id]; present && entry.err == nil {
			s.applyEntry(entry.replica, s.listed, now)
			changed = true
		}
	}
	for id, r := range s.superseded {
		if observed := s.observe(r.Key(), "entry", now); !observed.Superseded {
			r.Born = observed.Key.Born
			s.listed[id] = r
			delete(s.superseded, id)
			changed = true
		}
	}
	return changed
}

// keepVanished keeps replicas without a row while the store is settling, except draining ones, and
// returns their names. A row, usable or not, takes precedence over the vanished replica of its id.
func (s *replicaSet) keepVanished(before map[string]relay.Replica, rows map[string][]byte, settling bool) (kept []string) {
	for id, r := range before {
		if _, present := rows[id]; !present && settling && !r.Draining {
			s.vanished[id] = r
			kept = append(kept, r.Key().String())
		}
	}
	for id := range rows {
		delete(s.vanished, id)
	}
	return kept
}

// reportChanges logs what the new entries changed and calls onRestart for replicas that have
// restarted. Kept are the replicas that stay in use without a row.
func (s *replicaSet) reportChanges(before map[string]relay.Replica, kept []string, version platform.Version) {
	changes := &replicaChanges{kept: kept}
	for id, current := range s.listed {
		previous, known := before[id]
		if known && previous == current {
			continue
		}
		switch {
		case !known || previous.Key() == current.Key():
		case previous.Born <= 0:
			s.onStartKnown(previous.Key(), current.Key())
		default:
			s.onRestart(current)
		}
		changes.record(previous, known, current)
	}
	for id, previous := range before {
		if _, present := s.listed[id]; !present {
			changes.removed = append(changes.removed, previous.Key().String())
		}
	}
	changes.log(s.logger, len(s.listed), version)
}

// current returns the listed replicas and those that may be listed again.
func (s *replicaSet) current() []relay.Replica {
	return slices.AppendSeq(slices.Collect(maps.Values(s.listed)), maps.Values(s.vanished))
}

// entryFault returns the field that makes an entry unusable and its value. If the error names no
// field, found is the error text.
func entryFault(err error) (field, found string) {
	var fault *relay.EntryError
	if errors.As(err, &fault) {
		return fault.Field, fault.Found
	}
	return "", err.Error()
}
