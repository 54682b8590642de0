package balance

import "time"

// TargetDump is the state of one target.
type TargetDump struct {
	Name     string `json:"name"`
	Pool     string `json:"pool"`
	InFlight int    `json:"inFlight"`
	// Limits are for bulk, normal and urgent requests.
	Limits   [3]int `json:"limits"`
	Eligible bool   `json:"eligible"`
	// Reason is why the target is not eligible.
	Reason    string        `json:"reason,omitempty"`
	Others    float64       `json:"othersEstimate"`
	Score     float64       `json:"score"`
	Trust     float64       `json:"reportTrust"`
	ReportAge time.Duration `json:"reportAgeNanoseconds,omitempty"`
	Failures  int           `json:"failures,omitempty"`
	HalfOpen  bool          `json:"halfOpen,omitempty"`
	// Busy means that the target answered busy and gets no more requests for a while.
	Busy bool `json:"busy,omitempty"`
	// PeersInFlight is what peers report, claims included. CacheTrust is the trust in what is
	// known of the target's cached prefixes.
	PeersInFlight int     `json:"peersInFlight,omitempty"`
	CacheTrust    float64 `json:"cacheTrust,omitempty"`
}
