package enginesim

import "geraniumcroft/internal/config"

// Faults are the standing faults of an engine.
type Faults struct {
	// Slowdown multiplies the time that everything takes.
	Slowdown float64 `json:"slowdown"`
	// LoadLag delays load reports.
	LoadLag config.Duration `json:"loadLag"`
	// DieAtToken makes the engine die when it works on this generated position;
	// 0 is none, and it is ordered once.
	DieAtToken int `json:"dieAtToken"`
	// StaleTokens makes the last stage send, before each token, one of an older epoch.
	StaleTokens bool `json:"staleTokens"`
	// Leaving makes the engine refuse new stages and report that it leaves.
	Leaving bool `json:"leaving"`
	// IgnoresFencing makes the engine obey orders with an old fencing number.
	IgnoresFencing bool `json:"ignoresFencing"`
	// Mute stops heartbeats and tokens on every stream while connections stand.
	Mute bool `json:"mute"`
}
