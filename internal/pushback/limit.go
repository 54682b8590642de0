package pushback

import "math"

// Limit is how many requests a second a replica takes from all VMs together. The zero Limit is none.
type Limit struct {
	// Set says that there is a limit; PerSecond may be 0.
	Set       bool
	PerSecond float64
}

// notablePart is by which part a limit must differ from another one to be told.
const notablePart = 0.25

// notablyOther reports whether a limit differs from another one by enough to be told. A replica may name
// a slightly different one in each answer.
func (l Limit) notablyOther(than Limit) bool {
	return l.Set != than.Set || math.Abs(l.PerSecond-than.PerSecond) > notablePart*than.PerSecond
}

// LimitOf returns a limit of so many requests a second.
func LimitOf(perSecond float64) Limit { return Limit{Set: true, PerSecond: perSecond} }
