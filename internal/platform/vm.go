package platform

import "time"

// VM is one entry of the platform's list. Targets' VMs are listed as well as the
// system's own.
type VM struct {
	Name string `json:"name"`
	// Address is an IP number without a port.
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	// Role is "entry" for the system's own VMs and "target" for targets' VMs.
	Role    string `json:"role"`
	Leaving bool   `json:"leaving"`
	// Since is when the platform learned of the present state.
	Since time.Time `json:"since"`
	// PeerAddress is IP:port of an entry VM's peer listener.
	PeerAddress string `json:"peerAddress,omitempty"`
}
