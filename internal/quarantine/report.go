package quarantine

import "geraniumcroft/internal/incarnation"

// Report is what one VM knows of a request, as VMs send it to each other and as it stands in the
// platform's table. Its times are milliseconds since an epoch of which the age is sent beside it,
// as VMs' clocks differ.
type Report struct {
	Digest  Digest  `json:"digest"`
	Crashes []Crash `json:"ends"`
	// SeenMS is when the request was last asked for while it was quarantined, or its last end.
	SeenMS int64 `json:"seenMs"`
}

// Crash is one replica that ended under a request.
type Crash struct {
	Replica incarnation.Key `json:"replica"`
	AtMS    int64           `json:"atMs"`
	// Cleared ends are held against the request no more.
	Cleared bool `json:"forgiven,omitempty"`
}

// TableName names the ledgers' reports among what peers tell each other.
const TableName = "quarantine"
