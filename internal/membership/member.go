package membership

import "time"

// Member is a VM as seen by this VM.
type Member struct {
	Name string `json:"name"`
	// Address is the IP:port of the VM's peer listener.
	Address     string      `json:"address"`
	DataCentre  string      `json:"dataCentre"`
	Incarnation Incarnation `json:"incarnation"`
	State       State       `json:"state"`
	// Leaving says that the VM is being stopped; it still finishes the requests that it has
	// accepted.
	Leaving bool `json:"leaving"`
	// Version is the newest configuration version that the VM is known to have in force.
	Version uint64 `json:"version"`
	// Since is when the present state began.
	Since time.Time `json:"since"`
	// LastMessage is when the last message from the VM itself arrived; zero if none has.
	LastMessage time.Time `json:"heard"`
	// Listed says that the platform's list contains the VM.
	Listed bool `json:"listed"`
	// ListedLeaving says that the platform's list shows the VM as leaving.
	ListedLeaving bool `json:"listedLeaving"`
}

// MayServe reports whether callers' requests may still reach the VM.
func (m *Member) MayServe() bool {
	return m.State == Alive || m.State == Suspected
}
