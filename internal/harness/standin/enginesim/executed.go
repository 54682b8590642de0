package enginesim

import "geraniumcroft/internal/config"

const maxExecuted = 1 << 16

// Executed is what an engine worked on for one request in one epoch.
type Executed struct {
	RequestID string            `json:"requestId"`
	Target    string            `json:"target"`
	Epoch     uint32            `json:"epoch"`
	Layers    config.LayerRange `json:"layers"`
	// First and Last are the generated positions worked on; Count how many.
	First int `json:"first"`
	Last  int `json:"last"`
	Count int `json:"count"`
	// Replayed is the number of positions put into the KV cache before First.
	Replayed int `json:"replayed"`
	// OutOfOrder counts positions that did not follow the one before.
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
