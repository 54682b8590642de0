package balance

import (
	"geraniumcroft/internal/config"
	"math"
)

// headrooms returns, for each target of a group, how many of its slots each
// urgency must leave free. Urgent leaves none.
//
// A target with one slot cannot keep one free and still serve anything else, so
// there the headroom is whole targets: a share of them, at least one where the
// group has several and none of them is larger, is for urgent requests only. A
// group that is a single slot keeps none; there urgent work relies on
// preemption.
func headrooms(members []*config.Target, s Settings) [][config.UrgencyCount]int {
	rooms := make([][config.UrgencyCount]int, len(members))
	var single []int
	for i, t := range members {
		if t.Slots > 1 {
			rooms[i] = headroom(t.Slots, s)
		} else {
			single = append(single, i)
		}
	}
	kept := int(s.UrgentShare * float64(len(single)))
	if kept == 0 && len(single) == len(members) && len(single) > 1 {
		kept = 1
	}
	for _, i := range single[:kept] {
		rooms[i][config.Normal] = 1
		rooms[i][config.Bulk] = 1
	}
	return rooms
}

func headroom(slots int, s Settings) [config.UrgencyCount]int {
	urgent := max(1, int(math.Round(s.UrgentShare*float64(slots))))
	normal := int(s.NormalShare * float64(slots))
	var room [config.UrgencyCount]int
	room[config.Normal] = min(urgent, slots-1)
	room[config.Bulk] = min(urgent+normal, slots-1)
	return room
}
