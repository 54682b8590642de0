package balance

import (
	"slices"

	"geraniumcroft/internal/config"
)

// Query says what a request needs of a target.
type Query struct {
	Pool    string
	Urgency config.Urgency
	// Exclude names targets that the request has tried already.
	Exclude []string
	// Prefixes are hashes of the prompt's prefixes, the longest last.
	Prefixes []uint64
	// DataCentre is this VM's; targets in it are preferred slightly.
	DataCentre string
}

func (q *Query) excludes(name string) bool {
	return len(q.Exclude) > 0 && slices.Contains(q.Exclude, name)
}
