package adminapi

// ChangeResponse is the state of a change.
type ChangeResponse struct {
	Status Status `json:"status"`
	ID     string `json:"id,omitempty"`
	// Version is the configuration version that contains the change. It is also the
	// entity's revision.
	Version uint64 `json:"version"`
	// Committed is false if the table's response to the write was lost, so that the
	// change may or may not have been written. GET /admin/v1/changes?id=ID returns
	// the result later.
	Committed bool     `json:"committed"`
	Confirmed []string `json:"confirmed,omitempty"`
	// Missing lists the VMs that have not confirmed the version.
	Missing []string `json:"missing,omitempty"`
	// Unchanged is true if the entity already was as requested and nothing was
	// written.
	Unchanged bool   `json:"unchanged,omitempty"`
	Detail    string `json:"detail,omitempty"`
}
