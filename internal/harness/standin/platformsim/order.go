package platformsim

import "geraniumcroft/internal/config"

// Order is the set of faults in force; the zero Order is none.
type Order struct {
	Outage Outage `json:"outage,omitempty"`
	// LoseAnswers is how many of the next commits take effect with their answer lost.
	LoseAnswers int `json:"loseAnswers,omitempty"`
	// DelayCommits is how many of the next commits take effect only after DelayBy,
	// whether or not their sender still waits.
	DelayCommits int             `json:"delayCommits,omitempty"`
	DelayBy      config.Duration `json:"delayBy,omitempty"`
	// SlowBy is what each answer waits after the operation was carried out.
	SlowBy config.Duration `json:"slowBy,omitempty"`
	// VMLag is how far the list of VMs is behind; FreezeVMs stops it.
	VMLag     config.Duration `json:"vmLag,omitempty"`
	FreezeVMs bool            `json:"freezeVms,omitempty"`
	// SilenceOpen makes the connections that are open now fall silent for good.
	SilenceOpen bool `json:"silenceOpen,omitempty"`
}
