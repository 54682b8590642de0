package peer

import (
	"maps"
	"slices"

	"geraniumcroft/internal/membership"
)

// Dump is the state of a node for operators, encoded as JSON.
type Dump struct {
	VM            string                 `json:"vm"`
	Incarnation   membership.Incarnation `json:"incarnation"`
	Version       uint64                 `json:"version"`
	Reachable     bool                   `json:"reachable"`
	Members       []membership.Member    `json:"members"`
	View          []string               `json:"view"`
	Pushing       []string               `json:"pushing"`
	Probing       []string               `json:"probing"`
	Rumours       int                    `json:"rumours"`
	Refutations   uint64                 `json:"refutations"`
	Counters      Counters               `json:"counters"`
	SentBytes     uint64                 `json:"sentBytes"`
	ReceivedBytes uint64                 `json:"receivedBytes"`
}

// Dump returns the state of the node, as a Dump.
func (n *Node) Dump() any {
	reachable := n.Reachable()
	n.mu.Lock()
	defer n.mu.Unlock()
	return Dump{
		VM:            n.options.VM,
		Incarnation:   n.table.Self().Incarnation,
		Version:       n.options.Store.Current().Version,
		Reachable:     reachable,
		Members:       n.table.Members(),
		View:          slices.Sorted(maps.Keys(n.view)),
		Pushing:       slices.Sorted(maps.Keys(n.pushes)),
		Probing:       slices.Sorted(maps.Keys(n.probing)),
		Rumours:       n.table.Rumours(),
		Refutations:   n.table.Refutations,
		Counters:      n.counters,
		SentBytes:     n.traffic.Sent(),
		ReceivedBytes: n.traffic.Received(),
	}
}
