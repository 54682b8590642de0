package causes

// Cause is the outcome of a request with its reason.
type Cause struct {
	Outcome Outcome `json:"outcome"`
	// Reason is empty for a request in time, and says what made a late one late. For the other
	// outcomes it is the reason that the log gives, followed by the detail except for NotOwed.
	Reason string `json:"reason"`
}

// Outcome is what the caller of a request got.
type Outcome string

// The outcomes. Refused requests did not run. Of the other failures, BrokenOff are those after
// the first event and Failed those without one. NotOwed are failures for one of the
// notOwedReasons: a request that the caller left, or that was not allowed, does not count as lost.
const (
	InTime    Outcome = "in time"
	Late      Outcome = "late"
	Refused   Outcome = "refused"
	Failed    Outcome = "failed"
	NotOwed   Outcome = "not owed"
	BrokenOff Outcome = "broken off"
)

// The reasons of late requests.
const (
	lateQueued           = "waited for room"
	lateFirstEvent       = "first event"
	lateFirstEventResent = "first event, sent more than once"
	latePausePrefix      = "pause: "
	lateAnswer           = "answer"
)

// notOwedReasons holds the reasons of failures that only the caller could have avoided.
var notOwedReasons = map[string]bool{
	"unauthorized": true, "forbidden": true, "unknown-profile": true, "bad-request": true,
	"too-large": true, "headers-too-large": true, "not-found": true, "caller-gone": true,
}
