package platform

import "context"

// VMList is the platform's list of live and leaving VMs. It lags.
type VMList interface {
	// VMs returns the list as the platform has it.
	VMs(ctx context.Context) ([]VM, error)
}
