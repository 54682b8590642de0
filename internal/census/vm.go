package census

// VM is one row.
type VM struct {
	Name string `json:"name"`
	// Address is IP:port of the listener for peers.
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	// Cores is the part of a core that the VM has, 0 if it does not say.
	Cores float64 `json:"cores,omitempty"`
	// Beat changes with each write.
	Beat uint64 `json:"beat"`
}
