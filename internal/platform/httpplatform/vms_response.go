package httpplatform

import "geraniumcroft/internal/platform"

// VMsResponse is the response body of PathVMs.
type VMsResponse struct {
	VMs []platform.VM `json:"vms"`
}
