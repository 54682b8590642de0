package quarantine

import "geraniumcroft/internal/incarnation"

// Report is the record of one identity, as VMs exchange it and as it is stored in the platform's
// table. Its times are milliseconds since an epoch whose age is sent along, because the clocks of VMs
// differ.
type Report struct {
	Digest Digest `json:"digest"`
	// Part and Position are those of the Identity. VMs of versions that know whole requests only drop them.
	Part     string  `json:"part,omitempty"`
	Position int     `json:"position,omitempty"`
	Crashes  []Crash `json:"ends"`
	// SeenMS is the time at which a caller last sent the request while it was quarantined, or the
	// time of its last crash.
	SeenMS int64 `json:"seenMs"`
}

func (r Report) identity() Identity {
	return Identity{Digest: r.Digest, Part: r.Part, Position: r.Position}
}

// Crash is the crash of one incarnation of a replica while it ran the request.
type Crash struct {
	Replica incarnation.Key `json:"replica"`
	// AtMS is the time of the crash.
	AtMS int64 `json:"atMs"`
	// Cleared reports whether the crash no longer counts against the request.
	Cleared bool `json:"forgiven,omitempty"`
	// Excused is set with Cleared if that is due to an earlier successful run alone.
	Excused bool `json:"excused,omitempty"`
}

// TableName is the name under which peers exchange Reports.
const TableName = "quarantine"
