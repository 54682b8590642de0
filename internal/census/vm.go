package census

import (
	"fmt"
	"time"
)

const (
	rowPrefix    = "vm/"
	rowPrefixEnd = "vm0"
	// coreUnits per core is the resolution of the size in a row's key, maxSize the largest size
	// that it can express.
	coreUnits = 1000
	maxSize   = 999_999
)

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
	// Heartbeat is increased by each write. It is 0 in copies of the list.
	Heartbeat uint64 `json:"beat,omitempty"`
}

// key returns the key of the VM's row. Rows are ordered by size, the largest VM first, so that a
// starting VM finds the VMs that it asks for everything else among the first rows.
func (v VM) key() string {
	size := min(maxSize, max(0, int(v.Cores*coreUnits)))
	return fmt.Sprintf("%s%06d/%s", rowPrefix, maxSize-size, v.Name)
}

// identity returns the VM without what each write changes.
func (v VM) identity() VM {
	v.WrittenMS, v.Heartbeat = 0, 0
	return v
}

// sameVM reports whether two rows differ at most in what each write changes, whichever process
// wrote them.
func (v VM) sameVM(other VM) bool { return v.identity() == other.identity() }

// ageAt returns the age of the row at a time of the table's clock, and whether it is known.
func (v VM) ageAt(readAt time.Duration) (age time.Duration, known bool) {
	written := time.Duration(v.WrittenMS) * time.Millisecond
	return readAt - written, written > 0 && readAt >= written
}
