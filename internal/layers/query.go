package layers

import (
	"maps"
	"time"

	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/overload"
)

// Query describes what a request requires of a path.
type Query struct {
	// Prompt is the number of tokens to read, Answer the expected number of tokens to write.
	Prompt int
	Answer int
	// DataCentre is where the request arrived. Paths that begin there are preferred.
	DataCentre string
	// Exclude are the replicas on which the request has failed.
	Exclude map[incarnation.Key]bool
	// MaxUsage is the largest fraction of a replica's memory that may be in use before this
	// request; 0 means no limit. Replicas whose usage is unknown exceed any limit. A request
	// that could stay where it is leaves the memory of fuller replicas to others.
	MaxUsage float64
	// SpareEntries is how many replicas at which a path can begin must remain if the one at
	// which this path begins fails. 0 asks for none.
	SpareEntries int
	// Class is how the request competes for the replicas; the zero value if it does not.
	Class overload.Class
	// FirstEventWithin is the time in which a competing request needs its first event, Gap the longest
	// pause that its caller accepts between two events; 0 for none.
	FirstEventWithin time.Duration
	Gap              time.Duration
}

// excluding returns a copy of the query that excludes more replicas. The copy has its own
// map.
func (q Query) excluding(keys ...incarnation.Key) Query {
	exclude := make(map[incarnation.Key]bool, len(q.Exclude)+len(keys))
	maps.Copy(exclude, q.Exclude)
	for _, k := range keys {
		exclude[k] = true
	}
	q.Exclude = exclude
	return q
}

// tokens returns the context of the request at its end, in tokens.
func (q Query) tokens() float64 { return float64(max(1, q.Prompt+q.Answer)) }
