package platformsim

import (
	"time"

	"geraniumcroft/internal/platform"
)

// vmList is a VM list with the time from which it was current.
type vmList struct {
	since time.Time
	vms   []platform.VM
}
