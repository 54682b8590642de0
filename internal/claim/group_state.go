package claim

// GroupState is the state of the grouped writes in the dump.
type GroupState struct {
	// Queued is the number of rows that wait for a group.
	Queued int `json:"queued"`
	// Sending is the number of groups in flight.
	Sending int `json:"sending"`
	// Groups and Rows count the groups formed so far and the rows in them.
	Groups uint64 `json:"groups"`
	Rows   uint64 `json:"rows"`
}

// dump returns the state of the writer.
func (w *groupWriter) dump() *GroupState {
	w.mu.Lock()
	defer w.mu.Unlock()
	return &GroupState{Queued: len(w.queue), Sending: w.sending, Groups: w.groups, Rows: w.rows}
}
