package entry

import (
	"errors"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/relay"
)

// listing is what this VM believes of the replicas: discovery's entries, what replicas said
// of themselves since, and those that may come back after an outage of the store. It is not
// safe for concurrent use; the view's lock guards it.
type listing struct {
	decode func(id string, row []byte) (relay.Replica, error)
	logger *zap.Logger
	// restarted is told of a replica that has started again.
	restarted func(relay.Replica)

	incarnations *incarnation.Tracker
	// listed are the replicas of the entries that can be used, by id.
	listed map[string]relay.Replica
	// late are entries that an earlier incarnation wrote over its successor's.
	late map[string]relay.Replica
	// vanished are replicas that are listed no more but may come back, because their
	// entries ran out while the store was away.
	vanished map[string]relay.Replica
	unusable unusableEntries
}

func newListing(decode func(id string, row []byte) (relay.Replica, error), logger *zap.Logger, restarted func(relay.Replica)) *listing {
	return &listing{
		decode: decode, logger: logger, restarted: restarted, incarnations: incarnation.NewTracker(),
		listed: map[string]relay.Replica{}, late: map[string]relay.Replica{}, vanished: map[string]relay.Replica{},
		unusable: newUnusableEntries(logger),
	}
}

// take replaces the entries. While the store is settling, replicas that are missing may come
// back.
func (l *listing) take(rows map[string][]byte, revision uint64, settling bool, now time.Time) {
	before := l.listed
	l.listed, l.late = make(map[string]relay.Replica, len(rows)), map[string]relay.Replica{}
	unusable := map[string]error{}
	for id, row := range rows {
		r, err := l.decode(id, row)
		if err != nil {
			unusable[id] = err
			continue
		}
		l.list(r, before, now)
	}
	l.unusable.replace(unusable, zap.Uint64("revision", revision))
	l.tellChanges(before, revision)
	l.keepVanished(before, rows, settling)
	l.incarnations.Forget(func(id string) bool { _, is := l.listed[id]; return is }, now)
}

// list takes over one entry. One that an earlier incarnation wrote late says nothing of its
// successor, which is listed as it was before, or as its reports have it.
func (l *listing) list(r relay.Replica, before map[string]relay.Replica, now time.Time) {
	heard := l.hear(r.Key(), "entry", now)
	if !heard.Superseded {
		r.Born = heard.Key.Born
		l.listed[r.ID] = r
		return
	}
	l.late[r.ID] = r
	successor, known := before[r.ID]
	if !known {
		successor = r
		successor.Replica = r.Replica.NextIncarnation(heard.Key)
	}
	l.listed[r.ID] = successor
}

// hear tells the tracker of a word and logs what follows from it.
func (l *listing) hear(k incarnation.Key, from string, now time.Time) incarnation.Observation {
	heard := l.incarnations.Observe(k, now)
	if heard.FirstReport {
		l.logger.Warn("start of a replica not as it should be", zap.Stringer("replica", k), zap.String("from", from),
			zap.String("fault", string(heard.Fault)), zap.Stringer("takenFor", heard.Key))
	}
	if heard.Restarted {
		l.logger.Info("replica has started again", zap.Stringer("replica", heard.Key), zap.Stringer("before", heard.Previous), zap.String("from", from))
	}
	return heard
}

// heardOf takes a replica's own word, which may be seconds ahead of its entry. It returns
// which incarnation the word counts for, whether it is a late one, and whether the listing
// has changed.
func (l *listing) heardOf(k incarnation.Key, now time.Time) (heard incarnation.Observation, changed bool) {
	heard = l.hear(k, "report", now)
	for _, replicas := range []map[string]relay.Replica{l.listed, l.vanished} {
		r, is := replicas[k.ID]
		if !is || r.Born == heard.Key.Born {
			continue
		}
		if heard.Key.Succeeds(r.Key()) || heard.Restarted {
			r.Replica = r.Replica.NextIncarnation(heard.Key)
			l.restarted(r)
		} else {
			r.Born = heard.Key.Born // its entry did not give a start
		}
		replicas[k.ID] = r
		changed = true
	}
	return heard, changed
}

// settle drops what waited for news that did not come, and reports whether the listing has
// changed: replicas that vanished in an outage of the store that is over, and successors
// that have been silent behind an earlier incarnation's entry.
func (l *listing) settle(settling bool, now time.Time) bool {
	if settling {
		return false
	}
	changed := len(l.vanished) > 0
	if changed {
		l.logger.Info("vanished replicas dropped", zap.Int("replicas", len(l.vanished)))
		clear(l.vanished)
	}
	for id, r := range l.late {
		if heard := l.hear(r.Key(), "entry", now); !heard.Superseded {
			r.Born = heard.Key.Born
			l.listed[id] = r
			delete(l.late, id)
			changed = true
		}
	}
	return changed
}

// keepVanished keeps replicas that are missing while the store is settling. An entry that
// stands there, usable or not, speaks for its replica.
func (l *listing) keepVanished(before map[string]relay.Replica, rows map[string][]byte, settling bool) {
	for id, r := range before {
		if _, still := rows[id]; !still && settling && !r.Draining {
			l.vanished[id] = r
		}
	}
	for id := range rows {
		delete(l.vanished, id)
	}
}

// tellChanges logs what the new entries changed, and tells of replicas that have started again.
func (l *listing) tellChanges(before map[string]relay.Replica, revision uint64) {
	change := &listChange{}
	for id, now := range l.listed {
		was, known := before[id]
		if known && was == now {
			continue
		}
		if known && was.Key() != now.Key() {
			l.restarted(now)
		}
		change.note(was, known, now)
	}
	for id, was := range before {
		if _, still := l.listed[id]; !still {
			change.gone = append(change.gone, was.Key().String())
		}
	}
	change.log(l.logger, len(l.listed), revision)
}

// present returns the listed replicas and those that may come back.
func (l *listing) present() []relay.Replica {
	return slices.AppendSeq(slices.Collect(maps.Values(l.listed)), maps.Values(l.vanished))
}

// entryFault returns the field and what was found of an entry that can't be used.
func entryFault(err error) (field, found string) {
	var fault *relay.EntryError
	if errors.As(err, &fault) {
		return fault.Field, fault.Found
	}
	return "", err.Error()
}
