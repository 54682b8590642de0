package claim

// GroupState is what the dump shows of the grouping of writes.
type GroupState struct {
	Queued  int    `json:"queued"`
	Sending int    `json:"sending"`
	Groups  uint64 `json:"groups"`
	Rows    uint64 `json:"rows"`
}

func (w *groupWriter) dump() *GroupState {
	w.mu.Lock()
	defer w.mu.Unlock()
	return &GroupState{Queued: len(w.queue), Sending: w.sending, Groups: w.groups, Rows: w.rows}
}
