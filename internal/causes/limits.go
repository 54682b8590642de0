package causes

import (
	"cmp"
	"time"
)

// Limits are the times beyond which an answer is late, for profiles that state none: Objective
// for the whole answer or the first event of a stream, Gap for the pause between two events.
type Limits struct {
	Objective time.Duration
	Gap       time.Duration
}

// Classify returns the cause of a request.
func (l Limits) Classify(e Event) Cause {
	switch {
	case e.Complete:
		return l.classifyComplete(e)
	case notOwedReasons[e.Reason]:
		return Cause{NotOwed, e.Reason}
	case e.Outcome == "not-run":
		return Cause{Refused, e.Reason + ": " + e.Detail}
	case e.FirstEvent > 0:
		return Cause{BrokenOff, e.Reason + ": " + e.Detail}
	}
	return Cause{Failed, e.Reason + ": " + e.Detail}
}

func (l Limits) classifyComplete(e Event) Cause {
	objective, gap := cmp.Or(e.Objective, l.Objective), cmp.Or(e.Gap, l.Gap)
	switch {
	case !e.Generation && e.Took > objective:
		return Cause{Late, lateAnswer}
	case !e.Generation:
		return Cause{InTime, ""}
	case e.FirstEvent > objective && e.Waited > e.FirstEvent/2:
		return Cause{Late, lateQueued}
	case e.FirstEvent > objective && e.Sends > 1:
		return Cause{Late, lateFirstEventResent}
	case e.FirstEvent > objective:
		return Cause{Late, lateFirstEvent}
	case e.LongestPause > gap:
		return Cause{Late, latePausePrefix + cmp.Or(e.PauseEnded, "unknown end")}
	}
	return Cause{InTime, ""}
}
