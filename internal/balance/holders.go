package balance

// holders are the targets that have one prefix cached.
type holders [holdersPerPrefix]holder

// put stores h in the first place that is free, outdated or of the same target, else in the
// last one.
func (hs *holders) put(h holder) {
	for i := range hs {
		if hs[i].target == h.target || !hs[i].valid() {
			hs[i] = h
			return
		}
	}
	hs[holdersPerPrefix-1] = h
}
