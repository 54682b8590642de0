package claim

// State is the state of a Claims in the dump.
type State struct {
	// InHand is the number of claims that this VM holds for requests that have not
	// ended.
	InHand int `json:"inHand"`
	// Run, Replayed, Refused and Unknown count decisions: run the request, replay the
	// kept answer, fail as not-run, fail as unknown.
	Run      uint64 `json:"run"`
	Replayed uint64 `json:"replayed"`
	Refused  uint64 `json:"refused"`
	Unknown  uint64 `json:"unknown"`
	// Finished counts the end rows that were written.
	Finished uint64 `json:"finished"`
	// Unended counts the requests whose end row could not be written by Finish. Waiting
	// is the number of end rows that wait for a retry.
	Unended uint64 `json:"unended"`
	Waiting int    `json:"waiting"`
	// Swept counts the rows that sweeps deleted.
	Swept uint64 `json:"swept"`
	// Grouping is nil if each row is written in a transaction of its own.
	Grouping *GroupState `json:"grouping,omitempty"`
}

// Dump returns the state. It contains no keys.
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
		Waiting:  c.retries.len(),
		Swept:    c.counters.swept.Load(),
	}
	if grouped, ok := c.writer.(*groupWriter); ok {
		state.Grouping = grouped.dump()
	}
	return state
}
