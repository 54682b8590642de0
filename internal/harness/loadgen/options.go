package loadgen

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// Options describe one run.
type Options struct {
	// Routers are addresses of callers' listeners, IP:port, used in turn.
	Routers  []string
	Profiles []Profile
	// Rate is arrivals a second.
	Rate float64
	// Count and Duration bound the arrivals; at least one is set.
	Count    int
	Duration time.Duration
	// Timeout bounds one request.
	Timeout time.Duration
	// MaxInFlight bounds the requests in hand. An arrival beyond it is not sent and
	// counted as such.
	MaxInFlight int
	Seed        uint64
	// Workspaces is over how many workspaces a profile with %d in its name is spread,
	// and Skew the exponent of the Zipf distribution of their sizes, above 1.
	Workspaces int
	Skew       float64
	// BearerKey is sent when not empty.
	BearerKey string
	// AnyText turns the check of token positions off.
	AnyText bool
	// AllowRemote lets the run leave this machine.
	AllowRemote bool
}

// The defaults of Options.
const (
	DefaultRate        = 50
	DefaultDuration    = 10 * time.Second
	DefaultTimeout     = time.Minute
	DefaultMaxInFlight = 20000
	DefaultWorkspaces  = 1
	DefaultSkew        = 1.2
)

// Check reports all that is wrong with the options.
func (o *Options) Check() error {
	var findings error
	add := func(ok bool, format string, args ...any) {
		if !ok {
			findings = errors.Join(findings, errors.Newf(format, args...))
		}
	}
	add(len(o.Routers) > 0, "no router is given")
	for _, router := range o.Routers {
		address, err := netip.ParseAddrPort(router)
		add(err == nil, "router %q is not IP:port", router)
		add(err != nil || o.AllowRemote || address.Addr().Unmap().IsLoopback(),
			"router %s is not on a loopback address, which needs -allow-remote", router)
	}
	add(len(o.Profiles) > 0, "no profile is given")
	add(o.Rate > 0, "the rate %v is not above 0", o.Rate)
	add(o.Count > 0 || o.Duration > 0, "neither a count nor a duration bounds the run")
	add(o.Timeout > 0, "the timeout %s is not above 0", o.Timeout)
	add(o.MaxInFlight > 0, "the bound on requests in hand %d is not above 0", o.MaxInFlight)
	add(o.Workspaces > 0, "the number of workspaces %d is not above 0", o.Workspaces)
	add(o.Skew > 1, "the skew %v is not above 1", o.Skew)
	return findings
}
