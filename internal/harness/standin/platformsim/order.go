package platformsim

import "geraniumcroft/internal/config"

// Order is the set of faults to inject. The zero Order has none.
type Order struct {
	Outage Outage `json:"outage,omitempty"`
	// LoseAnswers is the number of next commits that take effect but whose response is
	// lost.
	LoseAnswers int `json:"loseAnswers,omitempty"`
	// DelayCommits is the number of next commits that take effect only after DelayBy,
	// whether or not their sender still waits. They get no response.
	DelayCommits int             `json:"delayCommits,omitempty"`
	DelayBy      config.Duration `json:"delayBy,omitempty"`
	// SlowBy is the time by which each response is delayed after the operation.
	SlowBy config.Duration `json:"slowBy,omitempty"`
	// VMLag is the time by which the VM list lags; FreezeVMs stops its updates.
	VMLag     config.Duration `json:"vmLag,omitempty"`
	FreezeVMs bool            `json:"freezeVms,omitempty"`
	// SilenceOpen permanently silences the connections that are open now. It applies
	// to a Server only.
	SilenceOpen bool `json:"silenceOpen,omitempty"`
}
