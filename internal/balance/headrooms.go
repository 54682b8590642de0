package balance

import (
	"geraniumcroft/internal/config"
	"math"
)

// headrooms returns, for each target of a group, how many of its slots requests of each
// urgency must leave free. It is 0 for urgent requests.
//
// A target with one slot cannot keep a slot free and serve anything else. For such targets
// the headroom consists of whole targets: UrgentShare of them, rounded down, serve only
// urgent requests, and at least one if the group has several targets and all have one slot.
// A group with a single slot has no headroom; urgent requests depend on preemption there.
func headrooms(members []*config.Target, s Settings) [][config.UrgencyCount]int {
	reserved := make([][config.UrgencyCount]int, len(members))
	var single []int
	for i, t := range members {
		if t.Slots > 1 {
			reserved[i] = headroom(t.Slots, s)
		} else {
			single = append(single, i)
		}
	}
	kept := int(s.UrgentShare * float64(len(single)))
	if kept == 0 && len(single) == len(members) && len(single) > 1 {
		kept = 1
	}
	for _, i := range single[:kept] {
		reserved[i][config.Normal] = 1
		reserved[i][config.Bulk] = 1
	}
	return reserved
}

// headroom returns how many slots requests of each urgency must leave free on a target with
// more than one slot.
func headroom(slots int, s Settings) [config.UrgencyCount]int {
	urgent := max(1, int(math.Round(s.UrgentShare*float64(slots))))
	normal := int(s.NormalShare * float64(slots))
	var reserved [config.UrgencyCount]int
	reserved[config.Normal] = min(urgent, slots-1)
	reserved[config.Bulk] = min(urgent+normal, slots-1)
	return reserved
}
