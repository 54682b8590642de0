package dispatch

import (
	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/config"
	"geraniumcroft/internal/service"
)

// Job is one call with the slot that admission has taken for it.
type Job struct {
	Call      service.Call
	Urgency   config.Urgency
	SendGuard *SendGuard
	// FirstSlot is the slot of the first attempt; Call releases it.
	FirstSlot *balance.Slot
	// NextSlot takes a slot on a target that is not excluded, without waiting.
	NextSlot func(exclude []string) (*balance.Slot, error)
}
