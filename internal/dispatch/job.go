package dispatch

import (
	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/config"
	"geraniumcroft/internal/service"
)

// Job is one call with the slot that admission has taken for it.
type Job struct {
	Call     service.Call
	Urgency  config.Urgency
	Boundary *Boundary
	// First is the slot of the first attempt; Call releases it.
	First *balance.Slot
	// Next takes a slot on a target that is not excluded, without waiting.
	Next func(exclude []string) (*balance.Slot, error)
}
