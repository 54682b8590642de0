package census

import "time"

// VM is one row.
type VM struct {
	Name string `json:"name"`
	// Address is IP:port of the listener for peers.
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	// Cores is the part of a core that the VM has, 0 if it does not say.
	Cores float64 `json:"cores,omitempty"`
	// WrittenMS is the table's own clock shortly before the row was written, in milliseconds; 0
	// if that wasn't known.
	WrittenMS int64 `json:"writtenMs,omitempty"`
	// Heartbeat changes with each write.
	Heartbeat uint64 `json:"beat"`
}

// sameAs reports whether two rows are of one VM that has not changed, whichever process wrote
// them.
func (v VM) sameAs(other VM) bool {
	v.WrittenMS, other.WrittenMS = 0, 0
	v.Heartbeat, other.Heartbeat = 0, 0
	return v == other
}

// ageAt returns how old a row was when the table's clock was read, and whether that is known.
func (v VM) ageAt(readAt time.Duration) (age time.Duration, known bool) {
	written := time.Duration(v.WrittenMS) * time.Millisecond
	return readAt - written, written > 0 && readAt >= written
}
