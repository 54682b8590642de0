package adminapi

import (
	"cmp"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/confstore"
)

const (
	// MaxBodyBytes bounds a request's body; an entity is smaller still.
	MaxBodyBytes = 2 * confstore.MaxValueBytes
	// MaxHeaderBytes bounds a request's header.
	MaxHeaderBytes = 16 << 10
	// DefaultWait is how long a change waits to be in force everywhere, MaxWait
	// the longest that a caller may ask for.
	DefaultWait = 2 * time.Second
	MaxWait     = 30 * time.Second
	// maxWaits bounds the requests that wait for a change at one time; those beyond
	// it are told at once what is in force, and may ask again.
	maxWaits = 64
	// DefaultDumpTimeout is how long the dump may take before the stacks are shown.
	DefaultDumpTimeout = 2 * time.Second
)

// Options set up the API. Store, Confirmer and Authenticator are needed.
type Options struct {
	Store         Store
	Confirmer     confstore.Confirmer
	Authenticator Authenticator
	// VMs, Leases and Dump return values that stand as JSON; nil answers null.
	VMs    func() any
	Leases func() any
	Dump   func() any
	// Version is the program's version.
	Version     string
	Logger      *zap.Logger
	DumpTimeout time.Duration
}

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	o.DumpTimeout = cmp.Or(o.DumpTimeout, DefaultDumpTimeout)
	o.VMs = orNull(o.VMs)
	o.Leases = orNull(o.Leases)
	o.Dump = orNull(o.Dump)
	return o
}

func orNull(f func() any) func() any {
	if f == nil {
		return func() any { return nil }
	}
	return f
}
