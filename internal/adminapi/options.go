package adminapi

import (
	"cmp"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/confstore"
)

const (
	// MaxBodyBytes is the maximum size of a request body. Entities have a lower
	// limit.
	MaxBodyBytes = 2 * confstore.MaxValueBytes
	// MaxHeaderBytes is the maximum size of a request's headers.
	MaxHeaderBytes = 16 << 10
	// DefaultWait is how long a request waits for a change to be in force on all VMs
	// if it has no wait parameter. MaxWait is the maximum of that parameter.
	DefaultWait = 2 * time.Second
	MaxWait     = 30 * time.Second
	// maxConcurrentWaits is the maximum number of requests that wait at the same
	// time. Further requests are answered at once with the present state and can be
	// repeated.
	maxConcurrentWaits = 64
	// DefaultDumpTimeout is how long a dump may take before the response contains
	// the stacks instead.
	DefaultDumpTimeout = 2 * time.Second
)

// Options configures the API. Store, Confirmer and Authenticator are required.
type Options struct {
	Store         Store
	Confirmer     confstore.Confirmer
	Authenticator Authenticator
	// VMs, Leases and Dump return values that are sent as JSON. If the function is
	// nil, the response is null.
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

// orNull returns f, or a function that returns nil if f is nil.
func orNull(f func() any) func() any {
	if f == nil {
		return func() any { return nil }
	}
	return f
}
