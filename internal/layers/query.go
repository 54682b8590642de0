package layers

import (
	"maps"

	"geraniumcroft/internal/incarnation"
)

// Query is what a request needs of a path.
type Query struct {
	// Prompt is how many tokens are read, Answer how many are expected to be written.
	Prompt int
	Answer int
	// DataCentre is where the request entered; paths that begin there are preferred.
	DataCentre string
	// Exclude are the replicas that the request has failed on.
	Exclude map[incarnation.Key]bool
	// MaxUsage is how full a replica's memory may be before the request, as a part of it, 0 for any:
	// work that could stay where it is leaves the room of full replicas to others.
	MaxUsage float64
	// SpareEntries is how many other replicas must be left that a path can begin at, if the one
	// that this path begins at should end. 0 asks for nothing.
	SpareEntries int
}

// excluding returns the need with some more replicas to avoid; the map is its own.
func (n Query) excluding(keys ...incarnation.Key) Query {
	avoid := make(map[incarnation.Key]bool, len(n.Exclude)+len(keys))
	maps.Copy(avoid, n.Exclude)
	for _, k := range keys {
		avoid[k] = true
	}
	n.Exclude = avoid
	return n
}

// tokens is the context of the request at its end.
func (n Query) tokens() float64 { return float64(max(1, n.Prompt+n.Answer)) }
