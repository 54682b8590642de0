package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/overload"
)

// configOf returns a configuration with one model and a profile of each priority.
func configOf(priorities ...int) (*Config, []*Profile) {
	var profiles []*Profile
	for _, priority := range priorities {
		profiles = append(profiles, &Profile{Priority: priority, Objective: 400 * time.Millisecond, Backends: []Backend{{Service: "model", Weight: 1}}})
	}
	c := NewConfig(1, profiles, nil, map[string]*Service{"model": {Name: "model", Model: &layers.Spec{}}}, Limits{})
	c.EnableOverloadControl()
	return c, profiles
}

// classified returns an arriving request of a profile.
func classified(h *Handler, c *Config, p *Profile) *request {
	q := &request{config: c, profile: p, priority: p.Priority, service: "model", arrival: time.Now()}
	h.classify(q)
	return q
}

// Guards against a queue whose order does not follow the ranks while loads are late or missing: the
// queue is then all that orders requests.
func TestQueueFollowsTheRanks(t *testing.T) {
	h := &Handler{Options: Options{Overload: NewOverloadControl(0.35)}}
	c, profiles := configOf(5, 6, 7, 9)
	for i, want := range []config.Urgency{config.Urgent, config.Urgent, config.Normal, config.Bulk} {
		if got := classified(h, c, profiles[i]).urgency(); got != want {
			t.Errorf("rank %d: urgency %v, want %v", i, got, want)
		}
	}
}

// Guards against requests that keep the ranks of an earlier configuration, and against a waiting
// request that changes its place.
func TestRanksFollowTheConfiguration(t *testing.T) {
	h := &Handler{Options: Options{Overload: NewOverloadControl(0.35)}}
	before, profiles := configOf(0, 1, 2)
	waiting := classified(h, before, profiles[2])
	after, changed := configOf(3, 4, 2)
	if q := classified(h, after, changed[2]); q.class.Rank != 0 || q.urgency() != config.Urgent {
		t.Errorf("new request: %+v", q.class)
	}
	if now := h.classNow(waiting, time.Now()); now.Rank != 2 || waiting.urgency() != config.Bulk {
		t.Errorf("waiting request: %+v", now)
	}
}

// Guards against a service with one priority that is served differently from before: a class, another
// place in the queue, or a shorter wait there.
func TestOnePriorityIsServedAsBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &Handler{Options: Options{Overload: NewOverloadControl(0.35)}}
		for priority, want := range map[int]config.Urgency{0: config.Urgent, 3: config.Normal, 9: config.Bulk} {
			c, profiles := configOf(priority, priority)
			q := classified(h, c, profiles[1])
			time.Sleep(time.Second)
			if now := h.classNow(q, time.Now()); q.class != (overload.Class{}) || now != (overload.Class{}) {
				t.Errorf("priority %d: class %+v, later %+v", priority, q.class, now)
			}
			if wait := h.queueWait(q); wait != time.Second || q.urgency() != want {
				t.Errorf("priority %d: waits %s as %v", priority, wait, q.urgency())
			}
		}
	})
}

// Guards against a competing request of a profile without an objective that counts as late, or is refused
// after the least wait.
func TestRequestWithoutObjectiveMayWait(t *testing.T) {
	h := &Handler{Options: Options{Overload: NewOverloadControl(0.35)}}
	c, profiles := configOf(0, 1)
	profiles[1].Objective = 0
	q := classified(h, c, profiles[1])
	q.deadline = q.arrival.Add(time.Minute)
	if wait := h.queueWait(q); wait < time.Minute-time.Second {
		t.Errorf("waits %s", wait)
	}
	if class := h.classNow(q, q.arrival.Add(time.Second)); class.Late || q.timeToObjective() != 0 {
		t.Errorf("class %+v, due in %s", class, q.timeToObjective())
	}
}
