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
	// Draining replicas take no new requests and are about to leave.
	Draining bool
}
