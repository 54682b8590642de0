package platform

import "context"

// VMList is the platform's list of live and leaving VMs. It lags behind the actual state.
type VMList interface {
	// VMs returns the list as the platform currently has it.
	VMs(ctx context.Context) ([]VM, error)
}
