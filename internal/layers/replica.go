package layers

import (
	"geraniumcroft/internal/config"
	"geraniumcroft/internal/incarnation"
)

// Replica is one engine as discovery lists it.
type Replica struct {
	// ID is what the replica is called. It may start again under it.
	ID string
	// Born is the start of its present incarnation, in Unix milliseconds; see
	// incarnation.BornMissing.
	Born int64
	// Address is IP:port.
	Address    string
	DataCentre string
	// Kind names the accelerator in Spec.Kinds.
	Kind string
	// Held is the range of layers that the replica reports; empty after a start.
	Held config.LayerRange
	// Loading says that Held was ordered and is not reported yet. Only the placement
	// knows such replicas.
	Loading bool
	// Joining replicas were listed a moment ago. Where nothing is missing they wait: a
	// replica that is replaced leaves right after its successor has come.
	Joining bool
	// Draining replicas take no new requests and are about to leave.
	Draining bool
}

// Key identifies the replica's incarnation. What is learned of a replica is kept by it.
func (r Replica) Key() incarnation.Key { return incarnation.Key{ID: r.ID, Born: r.Born} }

// NextIncarnation returns the replica after a restart, of which nothing is known but its start:
// it holds no layers.
func (r Replica) NextIncarnation(k incarnation.Key) Replica {
	r.Born, r.Held = k.Born, config.LayerRange{}
	return r
}
