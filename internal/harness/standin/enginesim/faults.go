package enginesim

import "geraniumcroft/internal/config"

// Faults are the persistent faults of an engine.
type Faults struct {
	// Slowdown multiplies the time of computations and Options.TokenLatency.
	Slowdown float64 `json:"slowdown"`
	// LoadLag delays load reports.
	LoadLag config.Duration `json:"loadLag"`
	// DieAtToken makes the engine die when it processes this generated position or a
	// later one. It happens once; 0 is none.
	DieAtToken int `json:"dieAtToken"`
	// StaleTokens makes the last stage send a token of the previous epoch before each
	// token.
	StaleTokens bool `json:"staleTokens"`
	// Leaving makes the engine refuse new stages and announce in its load reports that
	// it is leaving.
	Leaving bool `json:"leaving"`
	// IgnoresFencing makes the engine carry out orders with an old fencing number.
	IgnoresFencing bool `json:"ignoresFencing"`
	// Mute stops heartbeats and tokens on every stream. Connections stay open.
	Mute bool `json:"mute"`
}
