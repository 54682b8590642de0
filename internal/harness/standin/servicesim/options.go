package servicesim

import (
	"cmp"
	"time"
)

// Options configure a Service. Slots has a default; the zero value of any other
// field is used as it is.
type Options struct {
	// Name is the name of the target, Service that of the plain service.
	Name    string
	Service string
	// Slots is the number of calls that run concurrently; further calls wait.
	Slots int
	// ServiceTime is the time that one call takes.
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
