package enginesim

import "geraniumcroft/internal/config"

const maxExecuted = 1 << 16

// Executed records the work of an engine for one request in one epoch.
type Executed struct {
	RequestID string            `json:"requestId"`
	Target    string            `json:"target"`
	Epoch     uint32            `json:"epoch"`
	Layers    config.LayerRange `json:"layers"`
	// First and Last are the first and the last generated position processed, Count
	// is the number of positions.
	First int `json:"first"`
	Last  int `json:"last"`
	Count int `json:"count"`
	// Replayed is the number of positions computed into the KV cache before First.
	Replayed int `json:"replayed"`
	// OutOfOrder counts positions that did not directly follow the previous one.
	OutOfOrder int `json:"outOfOrder,omitempty"`
}

func (x *Executed) add(position int) {
	if x.Count == 0 {
		x.First = position
	} else if position != x.Last+1 {
		x.OutOfOrder++
	}
	x.Last = position
	x.Count++
}
