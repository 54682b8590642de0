package router

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/dispatch"
	"geraniumcroft/internal/outcome"
)

// Router serves callers' requests. It is safe for concurrent use.
type Router struct {
	Options
	registry  *registry
	estimates *estimates
}

// New returns a router. It registers the router's callbacks with admission, to preempt bulk
// generations for urgent requests, and admission's with the balancer, to start queued
// requests when slots become free.
func New(o Options) *Router {
	r := &Router{Options: o, registry: newRegistry(), estimates: newEstimates()}
	o.Admission.OnStarved(r.onStarved)
	o.Balancer.OnFree(o.Admission.Wake)
	return r
}

// Ready reports whether the load balancer should send new requests to this VM.
func (r *Router) Ready() bool { return r.Gate.Ready() }

// WakeQueues starts queued requests that waited until this VM's configuration was confirmed
// again.
func (r *Router) WakeQueues() {
	for _, pool := range r.registry.pools() {
		r.Admission.Wake(pool)
	}
}

// InHand returns the number of requests that have arrived and not ended.
func (r *Router) InHand() int { return r.registry.count() }

// begin looks the request up and adds it to the registry. The request has not run yet, so
// the outcome of a failure is NotRun, or Unknown if the request needs a claim, which was not
// read.
func (r *Router) begin(meta Metadata, class config.RequestClass) (*entry, *outcome.Failure) {
	snapshot := r.ConfigSource.Current()
	profile, ok := snapshot.Profiles[meta.Profile]
	if failure := r.Gate.Check(); failure != nil {
		return nil, claimUnread(meta, profile, failure)
	}
	if !ok || profile.Class != class {
		return nil, claimUnread(meta, nil, outcome.Refuse(outcome.ReasonUnknownProfile, "there is no such profile of this class"))
	}
	workspace := snapshot.Workspaces[profile.Workspace]
	if failure := r.checkCaller(meta, profile, workspace); failure != nil {
		return nil, claimUnread(meta, profile, failure)
	}
	e := r.newEntry(meta, profile)
	if limit := r.registry.add(e, maxInFlight(workspace)); limit != "" {
		failure := outcome.Refuse(outcome.ReasonWorkspaceLimit, "too many requests of this "+limit+" are in hand")
		return nil, claimUnread(meta, profile, failure.WithRetryAfter(time.Second))
	}
	return e, nil
}

// claimUnread changes the outcome of a refusal to Unknown if the request needs a claim that
// was not read. This request did not run, but an earlier one with the same key may have, on
// this or another VM. A caller that gets "not run" would make the request again.
func claimUnread(meta Metadata, profile *config.Profile, refused *outcome.Failure) *outcome.Failure {
	if meta.IdempotencyKey == "" || profile != nil && profile.Idempotent {
		return refused
	}
	unknown := *refused
	unknown.Outcome = outcome.Unknown
	unknown.Detail += "; an earlier request with this key may have run"
	return &unknown
}

// checkCaller refuses a request without a valid bearer key or with a body that is too large.
func (r *Router) checkCaller(meta Metadata, profile *config.Profile, workspace *config.Workspace) *outcome.Failure {
	if workspace != nil && len(workspace.KeyDigests) > 0 && !r.Authorize(meta.BearerKey.Reveal(), workspace.KeyDigests) {
		if meta.BearerKey.IsZero() {
			return outcome.Refuse(outcome.ReasonUnauthorized, "the profile's workspace asks for a bearer key")
		}
		return outcome.Refuse(outcome.ReasonForbidden, "the key is not one of the profile's workspace")
	}
	if meta.BodyBytes > minBound(profile.Limits.MaxBodyBytes, r.Limits.MaxBodyBytes) {
		return outcome.Refuse(outcome.ReasonTooLarge, "the body is larger than the profile allows")
	}
	return nil
}

// newEntry returns the entry of a request, which is not yet in the registry.
func (r *Router) newEntry(meta Metadata, profile *config.Profile) *entry {
	deadline := time.Duration(profile.Deadline)
	if deadline <= 0 {
		deadline = r.Limits.Deadline
	}
	if meta.CallerTimeout > 0 {
		deadline = min(deadline, meta.CallerTimeout)
	}
	e := &entry{
		meta:      meta,
		profile:   profile,
		pool:      profile.Service,
		deadline:  meta.Arrival.Add(deadline),
		sendGuard: dispatch.NewSendGuard(meta.RequestID, profile.Idempotent, r.Invariants),
		phase:     PhaseArrived,
		since:     meta.Arrival,
	}
	if profile.Class == config.ClassGeneration {
		e.model = chooseModel(profile.Models, meta.RequestID)
		e.pool = PoolOfModel(e.model)
	}
	if profile.Class == config.ClassGeneration && profile.Urgency == config.Bulk {
		e.preempt = make(chan struct{}, 1)
	}
	return e
}

// finish ends the request with its outcome and removes it from the registry.
func (r *Router) finish(e *entry, failure *outcome.Failure, epochs int) {
	record := Record{
		RequestID: e.meta.RequestID, Profile: e.profile.Name, Workspace: e.profile.Workspace,
		Urgency: e.profile.Urgency, Outcome: outcome.Complete, Arrival: e.meta.Arrival,
		Took: time.Since(e.meta.Arrival), Tokens: int(e.tokens.Load()), Epochs: epochs,
	}
	r.recordFailure(&record, failure)
	e.end(record.Outcome, r.Invariants)
	r.registry.remove(e)
	r.Observer.Ended(record)
}

// recordFailure sets the fields of the record from the failure and adds the record to the
// recent failures. Without a failure it does nothing.
func (r *Router) recordFailure(record *Record, failure *outcome.Failure) {
	if failure == nil {
		return
	}
	record.Outcome, record.Reason = failure.Outcome, failure.Reason
	record.Detail, record.Cause = failure.Detail, failure.Cause
	r.registry.addFailure(*record)
}

// recordRefusal records a request that was refused before it was added to the registry.
func (r *Router) recordRefusal(meta Metadata, failure *outcome.Failure) *outcome.Failure {
	record := Record{RequestID: meta.RequestID, Profile: meta.Profile, Arrival: meta.Arrival, Took: time.Since(meta.Arrival)}
	if profile := r.ConfigSource.Current().Profiles[meta.Profile]; profile != nil {
		record.Workspace, record.Urgency = profile.Workspace, profile.Urgency
	}
	r.recordFailure(&record, failure)
	r.Observer.Ended(record)
	return failure
}

// asFailure returns the error as a failure. An error that is not a failure has the outcome
// Unknown, which does not claim that a retry is safe.
func asFailure(err error) *outcome.Failure {
	if err == nil {
		return nil
	}
	var failure *outcome.Failure
	if errors.As(err, &failure) {
		return failure
	}
	return outcome.Uncertain(outcome.ReasonInternal, "the request failed in a way that nobody foresaw").WithCause(err)
}

// withDeadline returns a context that is done at the request's deadline.
func withDeadline(ctx context.Context, e *entry) (context.Context, context.CancelFunc) {
	return context.WithDeadline(ctx, e.deadline)
}

// maxInFlight returns the workspace's limit on requests in progress, 0 for no limit.
func maxInFlight(w *config.Workspace) int {
	if w == nil {
		return 0
	}
	return w.MaxInFlight
}

// minBound returns the lowest of the bounds, of which 0 means no bound.
func minBound[T int | int64](bounds ...T) T {
	var low T
	for _, bound := range bounds {
		if bound > 0 && (low == 0 || bound < low) {
			low = bound
		}
	}
	return low
}

// workspaceWeight returns the weight of the workspace, 1 if it has none.
func (r *Router) workspaceWeight(name string) int {
	if w := r.ConfigSource.Current().Workspaces[name]; w != nil && w.Weight > 0 {
		return w.Weight
	}
	return 1
}
