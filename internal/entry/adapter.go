package entry

import (
	"geraniumcroft/internal/loads"
	"geraniumcroft/internal/placer"
	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/relay"
	"geraniumcroft/internal/transport"
)

// Adapter holds the parts of a Process that depend on the outside platform.
type Adapter struct {
	Codec relay.Codec
	// NewEngines returns a client that uses the pool's connections.
	NewEngines func(*transport.Pool) Engines
	// Table stores the rows that the VMs write themselves.
	Table platform.Table
	// Feed reads OperatorTable and ReplicaTable and reports their changes.
	Feed platform.Feed
	// Eras has the eras of the answers of Table and Feed.
	Eras          *platform.Eras
	OperatorTable string
	ReplicaTable  string
	// DecodeConfig decodes the rows of OperatorTable. It returns nil if there is no
	// configuration yet.
	DecodeConfig func(rows map[string][]byte) (*relay.Config, error)
	// DecodeReplica decodes one row of ReplicaTable.
	DecodeReplica func(id string, row []byte) (relay.Replica, error)
}

// Engines is the control interface of replicas that hold layers, as the request path, the
// placement and the load reports use it.
type Engines interface {
	relay.Engines
	placer.Engines
	loads.Client
}
