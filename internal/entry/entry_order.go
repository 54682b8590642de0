package entry

import (
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/relay"
)

// entryOrder tells the entries that a replica wrote earlier from its newest one. A heartbeat that got no
// answer may be performed seconds later and replace what the replica has written since; taken for its
// newest word, it made a replica that was draining ready again. It is not safe for concurrent use.
type entryOrder struct {
	logger *zap.Logger
	newest map[string]newestEntry
}

// newestEntry is the newest entry of the present incarnation of a replica.
type newestEntry struct {
	key       incarnation.Key
	heartbeat uint64
	draining  bool
	// seenAt is when the table last had an entry of the replica.
	seenAt time.Time
	// lateSince is when an earlier entry took its place, zero if none has.
	lateSince time.Time
}

func newEntryOrder(logger *zap.Logger) entryOrder {
	return entryOrder{logger: logger, newest: map[string]newestEntry{}}
}

// isLate records an entry and reports whether the replica wrote it before one that is known. Where replicas
// name no start, each has an id of its own. A replica that drains does so until it ends. An entry
// with an earlier heartbeat counts once it has stood for restoredEntryTTL, as the next heartbeat of a live
// replica replaces it.
func (o *entryOrder) isLate(r relay.Replica, now time.Time) bool {
	known, ok := o.newest[r.ID]
	entry := newestEntry{key: r.Key(), heartbeat: r.Heartbeat, draining: r.Draining, seenAt: now}
	if !ok || known.key != r.Key() {
		o.newest[r.ID] = entry
		return false
	}
	revoked, earlier := known.draining && !r.Draining, r.Heartbeat < known.heartbeat
	stands := !known.lateSince.IsZero() && now.Sub(known.lateSince) >= restoredEntryTTL
	if !revoked && (!earlier || stands) {
		o.newest[r.ID] = entry
		return false
	}
	known.seenAt = now
	if known.lateSince.IsZero() {
		known.lateSince = now
		o.logger.Warn("earlier entry of a replica not used", zap.Stringer("replica", r.Key()), zap.Uint64("heartbeat", r.Heartbeat),
			zap.Uint64("newestHeartbeat", known.heartbeat), zap.Bool("draining", known.draining))
	}
	o.newest[r.ID] = known
	return true
}

// standing returns the ids of the replicas whose earlier entries have stood for restoredEntryTTL.
func (o *entryOrder) standing(now time.Time) []string {
	var ids []string
	for id, known := range o.newest {
		if !known.draining && !known.lateSince.IsZero() && now.Sub(known.lateSince) >= restoredEntryTTL {
			ids = append(ids, id)
		}
	}
	return ids
}

// forget forgets the replicas whose entries have been gone for departureRetention.
func (o *entryOrder) forget(decoded decodedEntries, now time.Time) {
	for id, known := range o.newest {
		if _, present := decoded[id]; !present && now.Sub(known.seenAt) > departureRetention {
			delete(o.newest, id)
		}
	}
}
