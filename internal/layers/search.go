package layers

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// search finds the cheapest path over the layers [from, to). A path is a walk over
// the cuts, the layers at which some range begins or ends; the walk's state is the
// cut and the data centre of the last stage, as that decides the next crossing.
type search struct {
	table *Table
	query Query
	now   time.Time
	from  int
	to    int
	// fromDC and toDC are the data centres before and after the path; empty is open.
	fromDC string
	toDC   string
	// fromCaller says that the path begins at its caller and not behind another stage.
	fromCaller bool
	// onlyDC, if not empty, leaves out the replicas of other data centres.
	onlyDC string
	// allowSuspected lets suspected replicas in.
	allowSuspected bool

	holders []*replicaState
	dcs     []string
	cuts    []int
	steps   [][]step
}

// run finds the path. Suspected replicas are used only where nobody else holds their
// layers: waiting for room elsewhere is better than being turned away again.
func (s *search) run() (Path, error) {
	path, err := s.withoutRepeats()
	if errors.Is(err, ErrNoPath) {
		s.allowSuspected = true
		path, err = s.withoutRepeats()
	}
	return path, err
}

// withoutRepeats finds a path that names no replica twice. The walk may leave a replica for a
// faster one within its range and come back, which engines refuse; the faster one is then left
// out.
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
	s.computeSteps()
	path := s.backtrack()
	if path == nil {
		return nil, ErrNoRoom
	}
	return path, nil
}

// collect lists the replicas that may serve and the cuts between their ranges.
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

// covered reports whether the holders hold every layer, with room or without.
func (s *search) covered() bool {
	for i := 0; i+1 < len(s.cuts); i++ {
		held := slices.ContainsFunc(s.holders, func(r *replicaState) bool {
			return r.Held.Contains(s.layers(i, i+1))
		})
		if !held {
			return false
		}
	}
	return len(s.holders) > 0
}

// entries counts the holders that a path can begin at.
func (s *search) entries() int {
	n := 0
	for _, r := range s.holders {
		if r.Held.From <= s.from {
			n++
		}
	}
	return n
}
