package generation

// Stats counts what a Runner met, for the dump and the metrics.
type Stats struct {
	// Running is the runs in hand.
	Running int64 `json:"running"`
	// Committed counts tokens given to sinks.
	Committed uint64 `json:"committed"`
	// Recoveries counts failures that a run went on after.
	Recoveries uint64 `json:"recoveries"`
	// Preemptions counts preempted epochs.
	Preemptions uint64 `json:"preemptions"`
	// Busy counts epochs that an engine without a free slot ended.
	Busy uint64 `json:"busy"`
	// Reconnects counts stages that were opened again because their stream went silent.
	Reconnects uint64 `json:"reproved"`
	// StaleEvents counts events of an older epoch, Duplicates repeated positions of
	// the present one; both were dropped.
	StaleEvents uint64 `json:"staleEvents"`
	Duplicates  uint64 `json:"duplicates"`
	// CancelsFailed counts cancels of old epochs that got no answer in time, and
	// CancelsSkipped those that were not sent because too many were under way.
	CancelsFailed  uint64 `json:"cancelsFailed"`
	CancelsSkipped uint64 `json:"cancelsSkipped"`
}
