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

// Options are the parts that a Router is put together from.
type Options struct {
	// VM is this VM's name; it seeds choices so that VMs do not act alike.
	VM           string
	DataCentre   string
	ConfigSource config.Source
	Admission    *admission.Controller
	Balancer     *balance.Balancer
	Plans        *PlanCache
	Runner       *generation.Runner
	Dispatcher   *dispatch.Dispatcher
	// Claims may be nil where no platform is configured; keyed requests that may
	// not be repeated are then refused.
	Claims     *claim.Claims
	Gate       *Gate
	Authorize  Authorizer
	Observer   Observer
	Invariants *invariant.Registry
	Logger     *zap.Logger
	Limits     Limits
}

// Limits bound what any request may use, whatever its profile says.
type Limits struct {
	MaxBodyBytes    int64
	MaxTokens       int
	MaxPromptTokens int
	// Deadline applies where a profile has none.
	Deadline time.Duration
	// MaxKeptAnswer bounds the answer that is kept with an idempotency key.
	MaxKeptAnswer int
}

// DefaultLimits returns the limits that hold where the settings say nothing.
func DefaultLimits() Limits {
	return Limits{
		MaxBodyBytes:    1 << 20,
		MaxTokens:       4096,
		MaxPromptTokens: 32768,
		Deadline:        2 * time.Minute,
		MaxKeptAnswer:   16 << 10,
	}
}

// Authorizer checks a bearer key against a workspace's key digests.
type Authorizer func(key string, digests []string) bool

// Observer takes the measurements of requests; it must not block.
type Observer interface {
	Queued(u config.Urgency, took time.Duration)
	FirstToken(u config.Urgency, took time.Duration)
	BetweenTokens(u config.Urgency, took time.Duration)
	Preempted()
	Ended(r Record)
}
