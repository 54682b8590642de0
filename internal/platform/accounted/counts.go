package accounted

import "geraniumcroft/internal/platform"

// Count is how many calls of one purpose were made since the start.
type Count struct {
	Calls uint64 `json:"calls"`
	// Failed are those of them that brought no answer, or one that nothing was done.
	Failed uint64 `json:"failed"`
}

// Counts are the calls by the name of their purpose; those never made are left out.
type Counts map[string]Count

// Counts returns the calls since the start.
func (s *Store) Counts() Counts {
	counts := Counts{}
	for purpose := range platform.Purpose(platform.PurposeCount) {
		c := Count{Calls: s.counted[purpose].calls.Load(), Failed: s.counted[purpose].failed.Load()}
		if c.Calls > 0 {
			counts[purpose.String()] = c
		}
	}
	return counts
}
