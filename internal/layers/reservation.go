package layers

import (
	"slices"
	"time"
)

// Reservation is a path with the room that a request holds on it.
type Reservation struct {
	table      *Table
	query      Query
	reservedAt time.Time

	// The table's lock guards the fields below.
	path     Path
	released bool
}

// Path returns the present path; it is not modified.
func (r *Reservation) Path() Path {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	return r.path
}

// Detour returns the path with the stages at the given addresses replaced by other holders of
// their layers, and holds room there. Stages that follow each other are replaced together. The
// first stage cannot be replaced: the request is connected to it. Written is how many tokens the
// answer has so far. With near the other holders are in the stage's data centre: they read all
// tokens so far, whose activations take longer over the link between data centres than reading
// the prompt anew on another path does.
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
		return nil, ErrNoPath // a stage that stays has started again and is on the detour as well
	}
	for _, p := range parts {
		t.chargeCrossings(r.path[p.replaced.from-1].Replica.DataCentre, p.stages, p.query.tokens(), now)
	}
	r.adjustReserved(-1)
	r.path = path
	r.adjustReserved(1)
	return r.path, nil
}

// detourPart is a run of stopped stages and what replaces them.
type detourPart struct {
	replaced span
	stages   Path
	// query is what the stages were chosen for.
	query Query
}

// eachReplacement finds other holders for each run of stopped stages, in the path's order. No replica
// of the path, none that stopped and none of an earlier part is among them. The table is locked.
func (r *Reservation) eachReplacement(stopped []string, written int, near bool, now time.Time, do func(detourPart)) error {
	spans := r.path.spans(stopped)
	if r.released || len(spans) == 0 || spans[0].from == 0 {
		return ErrNoPath
	}
	need := r.detourQuery(stopped, written)
	for _, at := range spans {
		stages, err := r.table.replacement(r.path, at, need, near, now)
		if err != nil {
			return err
		}
		do(detourPart{replaced: at, stages: stages, query: need})
		need = need.excluding(stages.keys()...)
	}
	return nil
}

// detourQuery is what a detour needs: neither the path's replicas nor those that stopped. The table
// is locked.
func (r *Reservation) detourQuery(stopped []string, written int) Query {
	avoid := r.path.keys()
	for k, s := range r.table.replicas {
		if slices.Contains(stopped, s.Address) {
			avoid = append(avoid, k)
		}
	}
	need := r.query.excluding(avoid...)
	need.Prompt += written
	return need
}

// replacement finds other holders of a span's layers. The table is locked.
func (t *Table) replacement(path Path, at span, need Query, near bool, now time.Time) (Path, error) {
	s := search{
		table: t, query: need, now: now, from: path[at.from].Layers.From, to: path[at.to-1].Layers.To,
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

// Release releases the room and says whether every stage did its work, which ends the
// suspicion against them.
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

// adjustReserved adds or, with -1, takes back the room on each stage. The table is locked.
func (r *Reservation) adjustReserved(sign float64) {
	for i, stage := range r.path {
		s := r.table.replicas[stage.Replica.Key()]
		if s == nil {
			continue
		}
		s.reserved = max(0, s.reserved+sign*r.query.tokens()*float64(stage.Layers.Len()))
		if i == 0 {
			s.entryRequests = max(0, s.entryRequests+int(sign))
		}
	}
}
