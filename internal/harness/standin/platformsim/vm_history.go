package platformsim

import (
	"slices"
	"time"

	"geraniumcroft/internal/platform"
)

// vmHistory keeps all VM lists with the time from which each was current, so that an
// old one can be shown. It is guarded by the Store's mutex.
type vmHistory struct {
	lists []vmList
	shown []platform.VM
}

func (h *vmHistory) set(now time.Time, vms []platform.VM) {
	h.lists = append(h.lists, vmList{since: now, vms: slices.Clone(vms)})
}

// at returns the list that was current at the given moment or, if frozen, the list
// that it returned last.
func (h *vmHistory) at(moment time.Time, frozen bool) []platform.VM {
	if frozen {
		return slices.Clone(h.shown)
	}
	h.shown = nil
	for _, list := range h.lists {
		if !list.since.After(moment) {
			h.shown = list.vms
		}
	}
	return slices.Clone(h.shown)
}
