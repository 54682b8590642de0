package quarantine

import "geraniumcroft/internal/incarnation"

// Report is the record of one request, as VMs exchange it and as it is stored in the platform's
// table. Its times are milliseconds since an epoch whose age is sent along, because the clocks of VMs
// differ.
type Report struct {
	Digest  Digest  `json:"digest"`
	Crashes []Crash `json:"ends"`
	// SeenMS is the time at which a caller last sent the request while it was quarantined, or the
	// time of its last crash.
	SeenMS int64 `json:"seenMs"`
}

// Crash is the crash of one incarnation of a replica while it ran the request.
type Crash struct {
	Replica incarnation.Key `json:"replica"`
	// AtMS is the time of the crash.
	AtMS int64 `json:"atMs"`
	// Cleared reports whether the crash no longer counts against the request.
	Cleared bool `json:"forgiven,omitempty"`
}

// TableName is the name under which peers exchange Reports.
const TableName = "quarantine"
