package loadgen

import "time"

// Arrival is one scheduled request.
type Arrival struct {
	// Number counts the arrivals of a run from 0.
	Number int
	// At is the intended send time, relative to the start of the run.
	At time.Duration
	// ProfileIndex is the index in Options.Profiles. Profile is the name to send, with
	// the number of the workspace filled in.
	ProfileIndex int
	Profile      string
	// Router is the address that the request is sent to.
	Router string
	// PromptTokens and MaxTokens are the lengths drawn for this request.
	PromptTokens int
	MaxTokens    int
}
