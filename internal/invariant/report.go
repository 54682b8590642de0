package invariant

// Report is the content of a registry, for the dump.
type Report struct {
	Counts map[Name]uint64 `json:"counts"`
	Recent []Violation     `json:"recent"`
}
