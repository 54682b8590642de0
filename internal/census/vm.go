package census

import "time"

// VM is the value of a VM's row.
type VM struct {
	Name string `json:"name"`
	// Address is the IP:port of the listener for peers.
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	// Cores is the number of processor cores that the VM has, 0 if unknown. It may be a fraction.
	Cores float64 `json:"cores,omitempty"`
	// WrittenMS is the time of the table's clock shortly before the row was written, in
	// milliseconds; 0 if it was unknown.
	WrittenMS int64 `json:"writtenMs,omitempty"`
	// Heartbeat is increased by each write.
	Heartbeat uint64 `json:"beat"`
}

// sameVM reports whether two rows differ at most in what each write changes, whichever process
// wrote them.
func (v VM) sameVM(other VM) bool {
	v.WrittenMS, other.WrittenMS = 0, 0
	v.Heartbeat, other.Heartbeat = 0, 0
	return v == other
}

// ageAt returns the age of the row at a time of the table's clock, and whether it is known.
func (v VM) ageAt(readAt time.Duration) (age time.Duration, known bool) {
	written := time.Duration(v.WrittenMS) * time.Millisecond
	return readAt - written, written > 0 && readAt >= written
}
