package relay

import (
	"time"

	"geraniumcroft/internal/overload"
)

// floorWindow is the time over which the served parts of profiles are compared. A small VM gets some
// 50 requests in it.
const floorWindow = 10 * time.Second

// minQueueWait is the least time that a competing request may wait, so that a VM whose streams have
// been slow finds out when they are fast again.
const minQueueWait = 50 * time.Millisecond

// OverloadControl is the state of a VM for services whose profiles differ in priority. It is safe for
// concurrent use.
type OverloadControl struct {
	floors      *overload.ServiceFloors
	firstEvents firstEventTimes
}

// NewOverloadControl returns the control of a VM that has served nothing yet. A profile is starved if it
// is served less than minServed times as often as the one that is served most often.
func NewOverloadControl(minServed float64) *OverloadControl {
	return &OverloadControl{floors: overload.NewServiceFloors(minServed, floorWindow)}
}

// classify sets how the request competes for the replicas of its service.
func (h *Handler) classify(q *request) {
	q.class = q.config.Class(q.service, overload.Priority{Workspace: q.priority, Profile: q.profile.Priority})
	if q.class.Competing() {
		h.Overload.floors.Of(q.service).Arrived(q.profile.Name, q.arrival)
	}
}

// classNow returns the request's class at a time. A request that was sent and rejected may have become
// late.
func (h *Handler) classNow(q *request, now time.Time) overload.Class {
	class := q.class
	if !class.Competing() {
		return class
	}
	class.Late = now.After(q.arrival.Add(h.latestStart(q)))
	class.Starved = h.Overload.floors.Of(q.service).Starved(q.profile.Name, now)
	return class
}

// latestStart returns how long after its arrival a request may start so that its first event still meets
// the objective. Without an objective it is the request's whole time.
func (h *Handler) latestStart(q *request) time.Duration {
	if q.profile.Objective <= 0 {
		return q.deadline.Sub(q.arrival)
	}
	return q.profile.Objective - min(h.Overload.firstEvents.usual(), q.profile.Objective*4/5)
}

// timeToObjective returns the time until the first event is late, at least a moment; 0 without an objective.
func (q *request) timeToObjective() time.Duration {
	if q.profile.Objective <= 0 {
		return 0
	}
	return max(time.Millisecond, q.profile.Objective-time.Since(q.arrival))
}

// competingQueueWait returns how long a competing request may wait: as long as it can be in time.
func (h *Handler) competingQueueWait(q *request) time.Duration {
	return max(minQueueWait, h.latestStart(q)-time.Since(q.arrival))
}

// recordStart counts a competing request that has been started.
func (h *Handler) recordStart(q *request) {
	if q.class.Competing() && !q.startCounted {
		q.startCounted = true
		h.Overload.floors.Of(q.service).Served(q.profile.Name, time.Now())
	}
}
