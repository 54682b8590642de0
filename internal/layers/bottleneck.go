package layers

import (
	"fmt"
	"strings"
	"time"
)

// Bottleneck describes, for each data centre, why a request finds no path inside it now: the
// first layers that none of its replicas can serve, and the reason for each holder. It is
// logged with a refused request, to distinguish a full card from a VM that has used up its share.
func (t *Table) Bottleneck(query Query) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var lines []string
	for _, dc := range t.dataCentres() {
		s := search{table: t, query: query, now: now, to: t.spec.Layers, fromDC: query.DataCentre, fromCaller: true, onlyDC: dc}
		s.collect()
		lines = append(lines, dc+": "+s.bottleneck())
	}
	return strings.Join(lines, "; ")
}

// bottleneck describes the first layers that no holder can serve.
func (s *search) bottleneck() string {
	for i := 0; i+1 < len(s.cuts); i++ {
		layers := s.layers(i, i+1)
		var blocked []string
		free := false
		for _, r := range s.holders {
			if !r.Held.Contains(layers) {
				continue
			}
			reason := s.obstacle(r, i == 0)
			free = free || reason == ""
			blocked = append(blocked, fmt.Sprintf("%s %s", r.Address, reason))
		}
		switch {
		case len(blocked) == 0:
			return "nobody holds " + layers.String()
		case !free:
			return "layers " + layers.String() + " at " + strings.Join(blocked, ", ")
		}
	}
	return "room"
}

// lackOfHeadroom describes why a replica has no memory left for a competing request: its class may use
// no more, or this VM has taken its part of what is free until the next report.
func (s *search) lackOfHeadroom(r *replicaState) string {
	u := s.usable(r.DataCentre)
	h, whole := r.memoryHeadroom(u), max(1, r.capacity)
	return fmt.Sprintf("is full for rank %d (late %t): %.2f of %.2f used, this VM added %.3f of a part of %.3f since the report",
		s.query.Class.Rank, s.query.Class.Late, h.now/whole, h.limit/whole, h.grown/whole, u.growth*(h.limit-h.reported)/whole)
}

// obstacle returns why a replica cannot serve the request, empty if it can.
func (s *search) obstacle(r *replicaState, entry bool) string {
	if entry && !s.admitsEntry(r) {
		return fmt.Sprintf("takes no more entries: %d of this VM, all %d", r.entryRequests, int(r.reportedEntries()))
	}
	if s.fits(r, s.query.tokens()) {
		return ""
	}
	if s.query.Class.Competing() && r.hasFreshLoad(s.now) {
		return s.lackOfHeadroom(r)
	}
	usage, known := r.usage(s.now)
	share := s.share(r)
	return fmt.Sprintf("is full: this VM holds %.2f of a part of %.2f, all %.2f (reported %t)",
		r.reserved/max(1, r.capacity), share, usage/max(1, r.capacity), known)
}
