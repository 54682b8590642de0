package platformsim

import (
	"slices"
	"time"

	"geraniumcroft/internal/platform"
)

// vmHistory keeps the lists of VMs with the time from which each held, so that an
// old one can be shown. The Store's mutex guards it.
type vmHistory struct {
	lists []vmList
	shown []platform.VM
}

func (h *vmHistory) set(now time.Time, vms []platform.VM) {
	h.lists = append(h.lists, vmList{since: now, vms: slices.Clone(vms)})
}

// at returns the list that held at the moment; when frozen, the one shown before.
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
