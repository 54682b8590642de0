package overload

// minUsable is the least fraction that every class may use.
const minUsable = 0.3

// Limits are the fractions of a replica's slots and memory that are kept from requests which are
// less urgent or late.
type Limits struct {
	// Reserve is kept from the last rank for those before it. Of the ranks between, each leaves an equal
	// part more than the one before it.
	Reserve float64
	// LateReserve is kept from late requests for those that can meet their objective.
	LateReserve float64
}

// Usable returns the fraction of a replica's slots and memory up to which a request of the class
// may start.
func (l Limits) Usable(c Class) float64 {
	if !c.Competing() {
		return 1
	}
	usable := 1.0
	if !c.Starved {
		usable -= l.step(c) * float64(min(max(c.Rank, 0), c.Ranks-1))
	}
	if c.Late {
		usable -= l.LateReserve
	}
	return max(minUsable, usable)
}

// UsableElsewhere is Usable for a replica in another data centre than the request's, whose own
// requests of the same class go first.
func (l Limits) UsableElsewhere(c Class) float64 {
	if !c.Competing() {
		return 1
	}
	return max(minUsable, l.Usable(c)-l.step(c))
}

// step returns what each rank leaves more than the one before it.
func (l Limits) step(c Class) float64 { return l.Reserve / float64(c.Ranks-1) }
