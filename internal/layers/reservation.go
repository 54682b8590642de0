package layers

import (
	"slices"
	"time"
)

// Reservation is a path with the memory that a request reserves on it. It is safe for
// concurrent use.
type Reservation struct {
	table      *Table
	query      Query
	reservedAt time.Time

	// table.mu guards the fields below.
	path     Path
	released bool
}

// Path returns the present path. The caller must not modify it.
func (r *Reservation) Path() Path {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	return r.path
}

// Detour replaces the stages at the given addresses by other holders of their layers,
// moves the reservation there and returns the new path. Consecutive stages are replaced
// together. The first stage cannot be replaced, because the request is connected to it.
// Written is the number of tokens that the answer has so far.
//
// If near is set, the other holders must be in the data centre of the stage. They have to
// read all tokens so far, and sending these tokens' activations over the link between two
// data centres takes longer than reading the prompt again on another path.
//
// It returns ErrNoPath or ErrNoCapacity if there is no such path; the reservation is then
// unchanged.
func (r *Reservation) Detour(stopped []string, written int, near bool) (Path, error) {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var path Path
	var parts []detourPart
	next := 0
	err := r.eachReplacement(stopped, written, near, now, func(p detourPart) {
		path = append(append(path, r.path[next:p.replaced.from]...), p.stages...)
		parts, next = append(parts, p), p.replaced.to
	})
	if err != nil {
		return nil, err
	}
	path = append(path, r.path[next:]...)
	if !path.Covers(t.spec.Layers) || len(path) > maxStages {
		return nil, ErrNoPath // a stage that stays has restarted and is part of the detour too
	}
	for _, p := range parts {
		t.chargeCrossings(r.path[p.replaced.from-1].Replica.DataCentre, p.stages, p.query.tokens(), now)
	}
	r.adjustReserved(-1)
	r.path = path
	r.adjustReserved(1)
	return r.path, nil
}

// detourPart is a run of stopped stages with its replacement.
type detourPart struct {
	replaced span
	stages   Path
	// query is what the stages were chosen for.
	query Query
}

// eachReplacement calls do with other holders for each run of stopped stages, in the order
// of the path. Replicas of the path, replicas that stopped and replicas chosen for an
// earlier run are excluded. r.table.mu is held.
func (r *Reservation) eachReplacement(stopped []string, written int, near bool, now time.Time, do func(detourPart)) error {
	spans := r.path.spans(stopped)
	if r.released || len(spans) == 0 || spans[0].from == 0 {
		return ErrNoPath
	}
	query := r.detourQuery(stopped, written)
	for _, replaced := range spans {
		stages, err := r.table.replacement(r.path, replaced, query, near, now)
		if err != nil {
			return err
		}
		do(detourPart{replaced: replaced, stages: stages, query: query})
		query = query.excluding(stages.keys()...)
	}
	return nil
}

// detourQuery returns the query for a detour, which excludes the replicas of the path and
// those that stopped. r.table.mu is held.
func (r *Reservation) detourQuery(stopped []string, written int) Query {
	exclude := r.path.keys()
	for k, s := range r.table.replicas {
		if slices.Contains(stopped, s.Address) {
			exclude = append(exclude, k)
		}
	}
	query := r.query.excluding(exclude...)
	query.Prompt += written
	return query
}

// replacement finds other holders of the layers of a span. t.mu is held.
func (t *Table) replacement(path Path, at span, query Query, near bool, now time.Time) (Path, error) {
	s := search{
		table: t, query: query, now: now, from: path[at.from].Layers.From, to: path[at.to-1].Layers.To,
		fromDC: path[at.from-1].Replica.DataCentre,
	}
	if near {
		s.onlyDC = path[at.from].Replica.DataCentre
	}
	if at.to < len(path) {
		s.toDC = path[at.to].Replica.DataCentre
	}
	return s.run()
}

// Release frees the reserved memory. Ok says whether every stage did its work, which ends
// suspicions against them. Only the first call has an effect.
func (r *Reservation) Release(ok bool) {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.released {
		return
	}
	r.released = true
	r.adjustReserved(-1)
	if !ok {
		return
	}
	for _, stage := range r.path {
		if s := t.replicas[stage.Replica.Key()]; s != nil {
			s.served(r.reservedAt)
		}
	}
}

// adjustReserved adds the reserved memory on each stage or, with sign -1, subtracts it.
// r.table.mu is held.
func (r *Reservation) adjustReserved(sign float64) {
	for i, stage := range r.path {
		s := r.table.replicas[stage.Replica.Key()]
		if s == nil {
			continue
		}
		s.reserved = max(0, s.reserved+sign*r.query.tokens()*float64(stage.Layers.Len()))
		s.streams = max(0, s.streams+int(sign))
		if i == 0 {
			s.entryRequests = max(0, s.entryRequests+int(sign))
		}
	}
}
