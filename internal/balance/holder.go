package balance

// holder is a target that said it has a prefix cached. It counts only while the
// target's view is still of that generation.
type holder struct {
	target     *target
	generation uint32
}

func (h holder) valid() bool {
	return h.target != nil && h.generation == h.target.cacheGeneration.Load()
}
