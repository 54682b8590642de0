package node

import "time"

const (
	minVMListInterval = 500 * time.Millisecond
	// maxVMListInterval bounds how long a target that is already listed as leaving still gets new
	// work to two seconds, in addition to the list's own lag.
	maxVMListInterval = 2 * time.Second
	// maxVMListReadsPerSecond bounds the reads of the list by the whole fleet, as far as
	// maxVMListInterval allows.
	maxVMListReadsPerSecond = 40
)

// vmListInterval returns how often one VM of a fleet of the given size reads the platform's list.
// In a fleet of 6, each VM reads it twice a second; at that rate, a fleet of 320 would read it 640
// times a second.
func vmListInterval(fleet int) time.Duration {
	shared := time.Duration(fleet) * time.Second / maxVMListReadsPerSecond
	return min(max(shared, minVMListInterval), maxVMListInterval)
}
