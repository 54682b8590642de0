package platform

import "time"

// VM is one entry of the platform's list, which contains the targets' VMs as well as
// the system's own.
type VM struct {
	Name string `json:"name"`
	// Address is an IP address without a port.
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	// Role is "entry" for the system's own VMs and "target" for targets' VMs.
	Role    string `json:"role"`
	Leaving bool   `json:"leaving"`
	// Since is when the platform detected the current state.
	Since time.Time `json:"since"`
	// PeerAddress is the IP:port of an entry VM's peer listener.
	PeerAddress string `json:"peerAddress,omitempty"`
}
