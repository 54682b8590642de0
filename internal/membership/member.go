package membership

import "time"

// Member is one VM as this VM sees it.
type Member struct {
	Name string `json:"name"`
	// Address is IP:port of the VM's peer listener.
	Address     string      `json:"address"`
	DataCentre  string      `json:"dataCentre"`
	Incarnation Incarnation `json:"incarnation"`
	State       State       `json:"state"`
	// Leaving VMs are being stopped; they still finish what they have in hand.
	Leaving bool `json:"leaving"`
	// Version is the newest configuration that the VM is known to have in force.
	Version uint64 `json:"version"`
	// Since is when the present state began.
	Since time.Time `json:"since"`
	// LastMessage is when a message of the VM itself last came; zero for never.
	LastMessage time.Time `json:"heard"`
	// Listed says that the platform's list shows the VM.
	Listed bool `json:"listed"`
	// ListedLeaving says that the platform's list shows the VM as leaving.
	ListedLeaving bool `json:"listedLeaving"`
}

// MayServe reports whether callers' requests may still reach the VM.
func (m *Member) MayServe() bool {
	return m.State == Alive || m.State == Suspected
}
