package platformsim

import (
	"time"

	"geraniumcroft/internal/platform"
)

type vmList struct {
	since time.Time
	vms   []platform.VM
}
