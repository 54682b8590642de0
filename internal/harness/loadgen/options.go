package loadgen

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// Options configures one run.
type Options struct {
	// Routers are the addresses, IP:port, of the callers' listeners. They are used
	// round-robin.
	Routers []string
	// Profiles are the profiles that the load is made of.
	Profiles []Profile
	// Rate is the mean number of arrivals per second.
	Rate float64
	// Count and Duration limit the arrivals; 0 is no limit. At least one is above 0.
	Count    int
	Duration time.Duration
	// Timeout limits one request, from its intended send time.
	Timeout time.Duration
	// MaxInFlight limits the requests in flight. An arrival above the limit is not
	// sent; the report counts it in NotSent.
	MaxInFlight int
	// Seed is the seed of the schedule.
	Seed uint64
	// Workspaces is the number of workspaces that a profile with %d in its name is
	// spread over. Skew is the exponent, above 1, of the Zipf distribution of their
	// sizes.
	Workspaces int
	Skew       float64
	// BearerKey is sent as a bearer token if it is not empty.
	BearerKey string
	// AnyText disables the checks that depend on the text of the stand-ins: the
	// positions of tokens and the echo of a call.
	AnyText bool
	// AllowRemote permits routers that are not on a loopback address.
	AllowRemote bool
}

// Defaults of Options.
const (
	DefaultRate        = 50
	DefaultDuration    = 10 * time.Second
	DefaultTimeout     = time.Minute
	DefaultMaxInFlight = 20000
	DefaultWorkspaces  = 1
	DefaultSkew        = 1.2
)

// Check returns an error that joins all problems of the options.
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
	add(o.MaxInFlight > 0, "the maximum of requests in flight %d is not above 0", o.MaxInFlight)
	add(o.Workspaces > 0, "the number of workspaces %d is not above 0", o.Workspaces)
	add(o.Skew > 1, "the skew %v is not above 1", o.Skew)
	return findings
}
