package balance

import (
	"slices"

	"geraniumcroft/internal/config"
)

// Query says what a request needs of a target.
type Query struct {
	Pool    string
	Urgency config.Urgency
	// Layers must be within what the target holds; zero leaves it open.
	Layers config.LayerRange
	// Exclude names targets that the request has tried already.
	Exclude []string
	// Prefixes are hashes of the prompt's prefixes, the longest last.
	Prefixes []uint64
	// DataCentre is this VM's; targets in it are preferred slightly.
	DataCentre string
}

// accepts reports whether the query may go to t at all.
func (q *Query) accepts(t *target) bool {
	if len(q.Exclude) > 0 && slices.Contains(q.Exclude, t.name) {
		return false
	}
	return q.Layers == (config.LayerRange{}) || t.config.Load().Layers.Contains(q.Layers)
}
