package adminapi

// ChangeResponse says what became of a change.
type ChangeResponse struct {
	Status Status `json:"status"`
	ID     string `json:"id,omitempty"`
	// Version is the configuration's version with the change, and the entity's
	// revision.
	Version uint64 `json:"version"`
	// Committed is false when the change may or may not have been written: the
	// table's answer was lost. GET /admin/v1/changes?id=ID tells later.
	Committed bool     `json:"committed"`
	Confirmed []string `json:"confirmed,omitempty"`
	// Missing are the VMs that have not confirmed the version.
	Missing []string `json:"missing,omitempty"`
	// Unchanged says that the entity was so already and nothing was written.
	Unchanged bool   `json:"unchanged,omitempty"`
	Detail    string `json:"detail,omitempty"`
}
