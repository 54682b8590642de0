package balance

// holder is a target that reported to have a prefix cached. It is valid only while the
// target's cache view still has the same generation.
type holder struct {
	target     *target
	generation uint32
}

// valid reports whether the holder is set and its generation is current.
func (h holder) valid() bool {
	return h.target != nil && h.generation == h.target.cacheGeneration.Load()
}
