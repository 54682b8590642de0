package layers

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/config"
)

// search finds the cheapest path over the layers [from, to). The cuts are the layers at
// which a range of some replica begins or ends. The search is a shortest-path computation
// over pairs of a cut and the data centre of the last stage: the data centre decides the
// cost of the next crossing.
type search struct {
	table *Table
	query Query
	now   time.Time
	from  int
	to    int
	// fromDC and toDC are the data centres before and after the path; empty means any.
	fromDC string
	toDC   string
	// fromCaller means that the path begins at the caller and not after another stage.
	fromCaller bool
	// onlyDC, if not empty, excludes replicas in other data centres.
	onlyDC string
	// allowSuspected admits suspected replicas.
	allowSuspected bool

	holders []*replicaState
	dcs     []string
	cuts    []int
	steps   [][]step
}

// run finds the path. Suspected replicas are used only if no other replica holds their layers:
// waiting for capacity elsewhere is better than another refusal.
func (s *search) run() (Path, error) {
	path, err := s.withoutRepeats()
	if errors.Is(err, ErrNoPath) {
		s.allowSuspected = true
		path, err = s.withoutRepeats()
	}
	return path, err
}

// withoutRepeats finds a path that names no replica twice, which engines refuse. The
// cheapest path may leave a replica for a faster one within its range and return to it;
// the faster one is then excluded.
func (s *search) withoutRepeats() (Path, error) {
	for {
		path, err := s.cheapest()
		between, repeats := path.betweenRepeats()
		if err != nil || !repeats {
			return path, err
		}
		s.query = s.query.excluding(between.Key())
	}
}

// cheapest finds the cheapest path, which may name a replica twice.
func (s *search) cheapest() (Path, error) {
	s.holders, s.dcs = nil, nil
	s.collect()
	if !s.covered() {
		return nil, ErrNoPath
	}
	if s.fromCaller && s.query.SpareEntries > 0 && s.entries() <= s.query.SpareEntries {
		return nil, ErrNoSpareEntry
	}
	if s.query.Class.Competing() && !s.dropFull() {
		return nil, ErrNoCapacity
	}
	s.computeSteps()
	path := s.backtrack()
	if path == nil {
		return nil, ErrNoCapacity
	}
	return path, nil
}

// collect sets the replicas that may serve some layers, their data centres and the cuts.
func (s *search) collect() {
	s.cuts = []int{s.from, s.to}
	for _, r := range s.table.replicas {
		if !s.admits(r) {
			continue
		}
		s.holders = append(s.holders, r)
		s.dcs = append(s.dcs, r.DataCentre)
		s.cuts = append(s.cuts, max(s.from, r.Held.From), min(s.to, r.Held.To))
	}
	slices.Sort(s.dcs)
	s.dcs = slices.Compact(s.dcs)
	slices.Sort(s.cuts)
	s.cuts = slices.Compact(s.cuts)
}

// admits reports whether a replica may serve some of the layers.
func (s *search) admits(r *replicaState) bool {
	switch {
	case r.Draining, s.query.Exclude[r.Key()], !s.allowSuspected && r.suspected(s.now):
		return false
	case s.onlyDC != "" && r.DataCentre != s.onlyDC:
		return false
	}
	return r.Held.Len() > 0 && r.Held.To > s.from && r.Held.From < s.to
}

// covered reports whether the holders hold every layer, whether or not they are full.
func (s *search) covered() bool {
	ranges := make([]config.LayerRange, 0, len(s.holders))
	for _, r := range s.holders {
		ranges = append(ranges, r.Held)
	}
	slices.SortFunc(ranges, func(a, b config.LayerRange) int { return cmp.Compare(a.From, b.From) })
	next := s.from
	for _, held := range ranges {
		if held.From > next {
			return false
		}
		next = max(next, held.To)
	}
	return len(s.holders) > 0 && next >= s.to
}

// dropFull drops the holders without capacity for a competing request, and reports whether the others hold
// every layer. In an overload most searches end here, at a small part of the cost.
func (s *search) dropFull() bool {
	s.holders = slices.DeleteFunc(s.holders, func(r *replicaState) bool { return !s.fits(r, 0) })
	return s.covered()
}

// entries returns how many of the holders a path can begin at.
func (s *search) entries() int {
	n := 0
	for _, r := range s.holders {
		if r.Held.From <= s.from {
			n++
		}
	}
	return n
}
