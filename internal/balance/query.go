package balance

import (
	"slices"

	"geraniumcroft/internal/config"
)

// Query describes what a request requires of a target.
type Query struct {
	Pool    string
	Urgency config.Urgency
	// Layers must be within the range that the target holds; the zero value allows any.
	Layers config.LayerRange
	// Exclude are the names of targets that the request has already tried.
	Exclude []string
	// Prefixes are hashes of the prompt's prefixes, the longest last.
	Prefixes []uint64
	// DataCentre is this VM's data centre. Targets in it are preferred slightly.
	DataCentre string
}

// accepts reports whether the request may be sent to t.
func (q *Query) accepts(t *target) bool {
	if len(q.Exclude) > 0 && slices.Contains(q.Exclude, t.name) {
		return false
	}
	return q.Layers == (config.LayerRange{}) || t.config.Load().Layers.Contains(q.Layers)
}
