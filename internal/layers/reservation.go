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
	// onRelease is set before the reservation is shared; may be nil.
	onRelease func(ok bool)

	// table.mu guards the fields below.
	path     Path
	released bool
}

// Adopt reserves memory on a path that was chosen elsewhere. It returns ErrNoPath if a replica of the path
// is not listed or the path does not cover the model.
func (t *Table) Adopt(query Query, path Path) (*Reservation, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(Path, len(path))
	for i, stage := range path {
		s := t.replicas[stage.Replica.Key()]
		if s == nil || s.Draining {
			return nil, ErrNoPath
		}
		listed[i] = Stage{Replica: s.Replica, Layers: stage.Layers}
	}
	if !listed.Covers(t.spec.Layers) || len(listed) > maxStages {
		return nil, ErrNoPath
	}
	r := &Reservation{table: t, query: query, reservedAt: time.Now(), path: listed}
	r.adjustReserved(1)
	return r, nil
}

// AdoptRunning is Adopt for a path of a request that runs already, so that the reports of the replicas show
// it.
func (t *Table) AdoptRunning(query Query, path Path) (*Reservation, error) {
	r, err := t.Adopt(query, path)
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r.adjustPast(1)
	return r, nil
}

// Forget releases the reservation of a request that goes on and is not accounted for here any more. The
// reports of the replicas still show it.
func (r *Reservation) Forget() {
	t := r.table
	t.mu.Lock()
	if !r.released {
		r.adjustPast(-1)
	}
	t.mu.Unlock()
	r.Release(false)
}

// adjustPast adds the reservation to what this VM used in the past or, with sign -1, subtracts it.
// r.table.mu is held.
func (r *Reservation) adjustPast(sign float64) {
	for i, stage := range r.path {
		s := r.table.replicas[stage.Replica.Key()]
		if s == nil {
			continue
		}
		more := use{reserved: sign * r.query.tokens() * float64(stage.Layers.Len()), streams: int(sign)}
		if i == 0 {
			more.entries = int(sign)
		}
		s.useAtReport = s.useAtReport.plus(more)
		s.history.adjust(more)
	}
}

// OnRelease sets a function that is called, without the table's lock, once the reservation is released, with
// the argument of Release.
func (r *Reservation) OnRelease(f func(ok bool)) { r.onRelease = f }

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
	query.Class = query.Class.Started()
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
	if r.release(ok) && r.onRelease != nil {
		r.onRelease(ok)
	}
}

// release is Release without onRelease. It reports whether it was the first call.
func (r *Reservation) release(ok bool) bool {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.released {
		return false
	}
	r.released = true
	r.adjustReserved(-1)
	if !ok {
		return true
	}
	for _, stage := range r.path {
		if s := t.replicas[stage.Replica.Key()]; s != nil {
			s.served(r.reservedAt)
		}
	}
	return true
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
		s.history.add(time.Now(), use{reserved: s.reserved, entries: s.entryRequests, streams: s.streams})
	}
}
