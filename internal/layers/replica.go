package layers

import (
	"geraniumcroft/internal/config"
	"geraniumcroft/internal/incarnation"
)

// Replica is one engine as discovery lists it.
type Replica struct {
	// ID is the replica's id. A replica may restart under the same id.
	ID string
	// Born is the start of its present incarnation, in Unix milliseconds; see
	// incarnation.BornMissing.
	Born int64
	// Address is IP:port.
	Address    string
	DataCentre string
	// Kind is the name of the accelerator in Spec.Accelerators.
	Kind string
	// Held is the range of layers that the replica reports, empty after a start.
	Held config.LayerRange
	// Loading means that Held was ordered and is not reported yet. Only the placement sets
	// it.
	Loading bool
	// Joining means that the replica was first listed a moment ago. Unless layers are
	// missing it gets none yet: a replica that is being replaced leaves right after its
	// successor has joined.
	Joining bool
	// Draining means that the replica takes no new requests and is about to leave.
	Draining bool
}

// Key identifies the replica's incarnation. What is observed of a replica is stored by
// this key.
func (r Replica) Key() incarnation.Key { return incarnation.Key{ID: r.ID, Born: r.Born} }

// NextIncarnation returns the replica after a restart with the given key. Only its start
// is known: it holds no layers.
func (r Replica) NextIncarnation(k incarnation.Key) Replica {
	r.Born, r.Held = k.Born, config.LayerRange{}
	return r
}
