package overload

// Class is how a request competes for capacity. The zero value is a request of a service whose
// requests all have the same priority; such requests are not limited.
type Class struct {
	// Rank is the place of the request's priority among those of the service's profiles, 0 for the
	// most urgent one.
	Rank int
	// Ranks is the number of different priorities; below 2 there is no competition.
	Ranks int
	// Late is set if the request can no longer meet its objective.
	Late bool
	// Starved is set if the requests of its profile are served much less often than others.
	Starved bool
}

// Started returns the class of a request whose caller has received a part of the response. Ending
// such a request would waste what replicas have done for it, so it is not limited by its rank.
func (c Class) Started() Class {
	c.Rank, c.Late = 0, false
	return c
}

// Competing reports whether requests of different priorities compete.
func (c Class) Competing() bool { return c.Ranks > 1 }
