package layers

const (
	// entryFractionDecay is the weight of what earlier reports found, for each new report. A VM has a
	// few streams on a replica at a time; several reports together tell the fraction well enough.
	entryFractionDecay = 0.7
	// entryFractionPrior is how many streams are assumed to begin at a replica beside those seen.
	// Without any stream of its own, a VM takes all that are reported for such.
	entryFractionPrior = 1.0
)

// entryFraction estimates which fraction of the streams at a replica have their first stage there, from
// this VM's own streams. Replicas report how many streams they work on, but not how many of these only
// pass through. A replica with the middle layers of most paths would otherwise seem to have no slot left
// while nearly all of its slots are free.
type entryFraction struct {
	entries, streams float64
}

// observe adds the numbers of this VM's streams that begin at the replica and of all that it has there.
func (f *entryFraction) observe(entries, streams int) {
	f.entries = entryFractionDecay*f.entries + float64(entries)
	f.streams = entryFractionDecay*f.streams + float64(streams)
}

// value returns the estimate, between 0 and 1.
func (f *entryFraction) value() float64 {
	return (f.entries + entryFractionPrior) / (f.streams + entryFractionPrior)
}
