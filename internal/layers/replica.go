package layers

import "geraniumcroft/internal/config"

// Replica is one engine as discovery lists it.
type Replica struct {
	// ID is the replica's incarnation: a restart has another one.
	ID string
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
