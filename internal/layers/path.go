package layers

import (
	"slices"
	"strings"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/incarnation"
)

// Stage is one replica's part of a path.
type Stage struct {
	Replica Replica
	Layers  config.LayerRange
}

// Path lists the stages of a request in order. They cover every layer once.
type Path []Stage

// First returns the replica to which the request is sent. The path must not be empty.
func (p Path) First() Replica { return p[0].Replica }

// Covers reports whether the path runs each of n layers once and in order and names no
// address twice.
func (p Path) Covers(n int) bool {
	next := 0
	seen := make(map[string]bool, len(p))
	for _, stage := range p {
		if stage.Layers.From != next || stage.Layers.Len() <= 0 || seen[stage.Replica.Address] {
			return false
		}
		seen[stage.Replica.Address] = true
		next = stage.Layers.To
	}
	return next == n
}

// betweenRepeats returns the replica of a stage that lies between two stages of the same
// replica. The second result is false if there is none.
func (p Path) betweenRepeats() (Replica, bool) {
	seen := make(map[string]int, len(p))
	for i, stage := range p {
		if at, ok := seen[stage.Replica.Address]; ok {
			return p[at+1].Replica, true
		}
		seen[stage.Replica.Address] = i
	}
	return Replica{}, false
}

// ReplicaAt returns the replica of the stage at an address. Ok is false if there is none.
func (p Path) ReplicaAt(address string) (r Replica, ok bool) {
	for _, stage := range p {
		if stage.Replica.Address == address {
			return stage.Replica, true
		}
	}
	return Replica{}, false
}

// keys returns the incarnations of the path's replicas.
func (p Path) keys() []incarnation.Key {
	keys := make([]incarnation.Key, 0, len(p))
	for _, stage := range p {
		keys = append(keys, stage.Replica.Key())
	}
	return keys
}

// span is a run of stages [from, to) of a path.
type span struct{ from, to int }

// spans returns the runs of consecutive stages at the given addresses, in the order of the
// path.
func (p Path) spans(addresses []string) []span {
	var spans []span
	for i, stage := range p {
		switch {
		case !slices.Contains(addresses, stage.Replica.Address):
		case len(spans) > 0 && spans[len(spans)-1].to == i:
			spans[len(spans)-1].to++
		default:
			spans = append(spans, span{from: i, to: i + 1})
		}
	}
	return spans
}

// String lists the stages as address=from-to, for logs.
func (p Path) String() string {
	var b strings.Builder
	for i, stage := range p {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(stage.Replica.Address)
		b.WriteByte('=')
		b.WriteString(stage.Layers.String())
	}
	return b.String()
}
