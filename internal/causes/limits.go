package causes

import (
	"cmp"
	"time"
)

// Limits say from when on an answer is late where its profile does not say it.
type Limits struct {
	Objective time.Duration
	Gap       time.Duration
}

// Classify says how a request ended, and why.
func (l Limits) Classify(e Event) Cause {
	switch {
	case e.Complete:
		return l.ofComplete(e)
	case notOwed[e.Reason]:
		return Cause{NotOwed, e.Reason}
	case e.Outcome == "not-run":
		return Cause{Refused, e.Reason + ": " + e.Detail}
	case e.FirstEvent > 0:
		return Cause{BrokenOff, e.Reason + ": " + e.Detail}
	}
	return Cause{Failed, e.Reason + ": " + e.Detail}
}

func (l Limits) ofComplete(e Event) Cause {
	objective, gap := cmp.Or(e.Objective, l.Objective), cmp.Or(e.Gap, l.Gap)
	switch {
	case !e.Generation && e.Took > objective:
		return Cause{Late, lateAnswer}
	case !e.Generation:
		return Cause{InTime, ""}
	case e.FirstEvent > objective && e.Waited > e.FirstEvent/2:
		return Cause{Late, lateWaiting}
	case e.FirstEvent > objective && e.Sends > 1:
		return Cause{Late, lateResentLong}
	case e.FirstEvent > objective:
		return Cause{Late, lateFirst}
	case e.LongestPause > gap:
		return Cause{Late, latePause + cmp.Or(e.PauseEnded, "unknown end")}
	}
	return Cause{InTime, ""}
}
