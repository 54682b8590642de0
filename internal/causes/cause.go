package causes

// Cause is how a request ended, and for what reason.
type Cause struct {
	Outcome Outcome `json:"outcome"`
	// Reason is the log's own reason for a request that failed, and what made a stream late.
	Reason string `json:"reason"`
}

// Outcome is what the caller got.
type Outcome string

// The outcomes. A request that the caller left, or that was not allowed, was not lost.
const (
	InTime    Outcome = "in time"
	Late      Outcome = "late"
	Refused   Outcome = "refused"
	Failed    Outcome = "failed"
	NotOwed   Outcome = "not owed"
	BrokenOff Outcome = "broken off"
)

// The reasons for which a request is late.
const (
	lateWaiting    = "waited for room"
	lateFirst      = "first event"
	lateResentLong = "first event, sent more than once"
	latePause      = "pause: "
	lateAnswer     = "answer"
)

// notOwed are the reasons of failures that nobody but the caller could have avoided.
var notOwed = map[string]bool{
	"unauthorized": true, "forbidden": true, "unknown-profile": true, "bad-request": true,
	"too-large": true, "headers-too-large": true, "not-found": true, "caller-gone": true,
}
