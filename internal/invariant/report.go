package invariant

// Report is what a registry has recorded, for the dump.
type Report struct {
	Counts map[Name]uint64 `json:"counts"`
	Recent []Violation     `json:"recent"`
}
