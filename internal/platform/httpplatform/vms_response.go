package httpplatform

import "geraniumcroft/internal/platform"

// VMsResponse answers PathVMs.
type VMsResponse struct {
	VMs []platform.VM `json:"vms"`
}
