package node

import "time"

const (
	minVMListInterval = 500 * time.Millisecond
	// maxVMListInterval keeps the time in which a leaving target gets no new work at
	// two seconds besides the list's own lag.
	maxVMListInterval = 2 * time.Second
	// vmListReads is what the fleet may read of the list in a second.
	vmListReads = 40
)

// vmListInterval is how often one VM of the fleet reads the platform's list. Today's
// six read it twice a second each; at that pace 320 would read it 640 times a second.
func vmListInterval(fleet int) time.Duration {
	shared := time.Duration(fleet) * time.Second / vmListReads
	return min(max(shared, minVMListInterval), maxVMListInterval)
}
