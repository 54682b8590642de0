package layers

import (
	"fmt"
	"strings"
	"time"
)

// Bottleneck says, for each data centre, why a request finds no path inside it now: the
// first layers that none of its replicas can take, and what keeps each holder from it.
// It is for the log's line about a request that was refused, as without it nobody can
// tell a full card from a VM that has used up its part of one.
func (t *Table) Bottleneck(need Query) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var lines []string
	for _, dc := range t.dataCentres() {
		s := search{table: t, query: need, now: now, to: t.spec.Layers, fromDC: need.DataCentre, fromCaller: true, onlyDC: dc}
		s.collect()
		lines = append(lines, dc+": "+s.bottleneck())
	}
	return strings.Join(lines, "; ")
}

// bottleneck describes the first layers without a holder that has room.
func (s *search) bottleneck() string {
	for i := 0; i+1 < len(s.cuts); i++ {
		layers := s.layers(i, i+1)
		var full []string
		free := false
		for _, r := range s.holders {
			if !r.Held.Contains(layers) {
				continue
			}
			why := s.obstacle(r, i == 0)
			free = free || why == ""
			full = append(full, fmt.Sprintf("%s %s", r.Address, why))
		}
		switch {
		case len(full) == 0:
			return "nobody holds " + layers.String()
		case !free:
			return "layers " + layers.String() + " at " + strings.Join(full, ", ")
		}
	}
	return "room"
}

// obstacle says what keeps the request from a replica, "" if nothing does.
func (s *search) obstacle(r *replicaState, entry bool) string {
	a := s.table.vmCounts.allowance(r.DataCentre)
	if entry && !r.admitsEntry(s.table.spec.Slots, a, s.now) {
		return fmt.Sprintf("takes no more entries: %d of this VM", r.entryRequests)
	}
	if r.fits(s.query.tokens(), a, s.now) {
		return ""
	}
	usage, known := r.usage(s.now)
	return fmt.Sprintf("is full: this VM holds %.2f of a part of %.2f, all %.2f (reported %t)",
		r.reserved/max(1, r.capacity), a.share, usage/max(1, r.capacity), known)
}
