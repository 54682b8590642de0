package entry

import (
	"geraniumcroft/internal/loads"
	"geraniumcroft/internal/placer"
	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/relay"
)

// Wiring is what the platform's adapter gives to the process.
type Wiring struct {
	Codec   relay.Codec
	Engines Engines
	// Table holds the product's own rows.
	Table platform.Table
	// Feed gives the operator's tables, which have the names below.
	Feed          platform.Feed
	OperatorTable string
	ReplicaTable  string
	// DecodeConfig decodes the rows of OperatorTable; nil stands for no configuration yet.
	DecodeConfig func(rows map[string][]byte) (*relay.Config, error)
	// DecodeReplica decodes one row of ReplicaTable.
	DecodeReplica func(id string, row []byte) (relay.Replica, error)
}

// Engines are asked and ordered by the request path and by the placement.
type Engines interface {
	relay.Engines
	placer.Engines
	loads.Client
}
