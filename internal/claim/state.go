package claim

// State is what the dump shows of a Claims.
type State struct {
	// InHand is the number of claims that this VM holds for requests in hand.
	InHand   int    `json:"inHand"`
	Run      uint64 `json:"run"`
	Replayed uint64 `json:"replayed"`
	Refused  uint64 `json:"refused"`
	Unknown  uint64 `json:"unknown"`
	Finished uint64 `json:"finished"`
	// Unended counts requests whose end could not be written at once; Waiting is how
	// many of them are still to be written.
	Unended uint64 `json:"unended"`
	Waiting int    `json:"waiting"`
	Swept   uint64 `json:"swept"`
	// Grouping is nil when claims are written one by one.
	Grouping *GroupState `json:"grouping,omitempty"`
}

// Dump returns the state; it holds no key.
func (c *Claims) Dump() State {
	c.mu.Lock()
	inHand := len(c.owned)
	c.mu.Unlock()
	state := State{
		InHand:   inHand,
		Run:      c.counters.run.Load(),
		Replayed: c.counters.replayed.Load(),
		Refused:  c.counters.refused.Load(),
		Unknown:  c.counters.unknown.Load(),
		Finished: c.counters.finished.Load(),
		Unended:  c.counters.unended.Load(),
		Waiting:  c.late.len(),
		Swept:    c.counters.swept.Load(),
	}
	if grouped, ok := c.writer.(*groupWriter); ok {
		state.Grouping = grouped.dump()
	}
	return state
}
