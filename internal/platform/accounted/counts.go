package accounted

import "geraniumcroft/internal/platform"

// Count holds the number of calls of one purpose since the start of the process.
type Count struct {
	Calls uint64 `json:"calls"`
	// Failed counts the calls without a response, and those whose response says that
	// nothing was done, other than refusals and ErrHistoryGone.
	Failed uint64 `json:"failed"`
}

// Counts maps the names of purposes to their calls. It omits purposes without calls.
type Counts map[string]Count

// Counts returns the counts since the start of the process.
func (s *Store) Counts() Counts {
	counts := Counts{}
	for purpose := range platform.Purpose(platform.PurposeCount) {
		c := Count{Calls: s.counters[purpose].calls.Load(), Failed: s.counters[purpose].failed.Load()}
		if c.Calls > 0 {
			counts[purpose.String()] = c
		}
	}
	return counts
}
