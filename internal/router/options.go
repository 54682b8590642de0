package router

import (
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/admission"
	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/claim"
	"geraniumcroft/internal/config"
	"geraniumcroft/internal/dispatch"
	"geraniumcroft/internal/generation"
	"geraniumcroft/internal/invariant"
)

// Options are the dependencies of a Router.
type Options struct {
	// VM is this VM's name. It seeds random choices so that they differ between VMs.
	VM           string
	DataCentre   string
	ConfigSource config.Source
	Admission    *admission.Controller
	Balancer     *balance.Balancer
	Plans        *PlanCache
	Runner       *generation.Runner
	Dispatcher   *dispatch.Dispatcher
	// Claims may be nil if no platform is configured. Requests that need a claim are then
	// refused.
	Claims     *claim.Claims
	Gate       *Gate
	Authorize  Authorizer
	Observer   Observer
	Invariants *invariant.Registry
	Logger     *zap.Logger
	Limits     Limits
}

// Limits bound the resources of each request, independent of its profile.
type Limits struct {
	MaxBodyBytes    int64
	MaxTokens       int
	MaxPromptTokens int
	// Deadline is the time limit of requests whose profile has none.
	Deadline time.Duration
	// MaxKeptAnswer is the maximum size in bytes of an answer that is stored with an
	// idempotency key.
	MaxKeptAnswer int
}

// DefaultLimits returns the limits that apply if the settings have none.
func DefaultLimits() Limits {
	return Limits{
		MaxBodyBytes:    1 << 20,
		MaxTokens:       4096,
		MaxPromptTokens: 32768,
		Deadline:        2 * time.Minute,
		MaxKeptAnswer:   16 << 10,
	}
}

// Authorizer reports whether a bearer key has one of a workspace's key digests.
type Authorizer func(key string, digests []string) bool

// Observer receives the measurements of requests. Its methods must not block.
type Observer interface {
	Queued(u config.Urgency, took time.Duration)
	FirstToken(u config.Urgency, took time.Duration)
	BetweenTokens(u config.Urgency, took time.Duration)
	Preempted()
	Ended(r Record)
}
