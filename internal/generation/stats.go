package generation

// Stats are a Runner's counters, for the dump and the metrics.
type Stats struct {
	// Running is the number of runs in progress.
	Running int64 `json:"running"`
	// Committed counts tokens passed to sinks.
	Committed uint64 `json:"committed"`
	// Recoveries counts failures that a run continued after.
	Recoveries uint64 `json:"recoveries"`
	// Preemptions counts preempted epochs.
	Preemptions uint64 `json:"preemptions"`
	// Busy counts epochs that ended because an engine had no free slot.
	Busy uint64 `json:"busy"`
	// Reconnects counts stages that were opened again because their stream went silent.
	Reconnects uint64 `json:"reproved"`
	// StaleEvents counts dropped events of an older epoch, Duplicates dropped tokens of
	// the current epoch whose position was already committed.
	StaleEvents uint64 `json:"staleEvents"`
	Duplicates  uint64 `json:"duplicates"`
	// CancelsFailed counts cancels of old epochs that failed or got no response in time,
	// CancelsSkipped those that were not sent because too many were in progress.
	CancelsFailed  uint64 `json:"cancelsFailed"`
	CancelsSkipped uint64 `json:"cancelsSkipped"`
}
