package servicesim

import (
	"cmp"
	"time"
)

// Options describe a Service. A zero field takes its default.
type Options struct {
	// Name is the target's name, Service the plain service's.
	Name    string
	Service string
	// Slots is how many calls run at once; more wait.
	Slots int
	// ServiceTime is what one call takes.
	ServiceTime time.Duration
	// LoadLag delays load reports.
	LoadLag time.Duration
}

// DefaultSlots is the default of Options.Slots.
const DefaultSlots = 16

func (o Options) withDefaults() Options {
	o.Slots = cmp.Or(o.Slots, DefaultSlots)
	return o
}
