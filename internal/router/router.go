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
	inHand    *inHand
	estimates *estimates
}

// New returns a router and registers it as the one that preempts bulk
// generations when urgent requests wait.
func New(o Options) *Router {
	r := &Router{Options: o, inHand: newInHand(), estimates: newEstimates()}
	o.Admission.OnStarved(r.onStarved)
	o.Balancer.OnFree(o.Admission.Wake)
	return r
}

// Ready reports whether the balancer should send new requests to this VM.
func (r *Router) Ready() bool { return r.Gate.Ready() }

// WakeQueues starts what waited for this VM to catch up with the configuration.
func (r *Router) WakeQueues() {
	for _, pool := range r.inHand.pools() {
		r.Admission.Wake(pool)
	}
}

// InHand returns how many requests have arrived and not ended.
func (r *Router) InHand() int { return r.inHand.count() }

// begin looks the request up and takes it in hand. Nothing has been spent on the
// request yet, so the failure is NotRun unless the request carries a key that was
// not looked up.
func (r *Router) begin(id Metadata, class config.RequestClass) (*entry, *outcome.Failure) {
	snapshot := r.ConfigSource.Current()
	profile, ok := snapshot.Profiles[id.Profile]
	if failure := r.Gate.Check(); failure != nil {
		return nil, unread(id, profile, failure)
	}
	if !ok || profile.Class != class {
		return nil, outcome.Refuse(outcome.ReasonUnknownProfile, "there is no such profile of this class")
	}
	workspace := snapshot.Workspaces[profile.Workspace]
	if failure := r.checkCaller(id, profile, workspace); failure != nil {
		return nil, failure
	}
	e := r.newEntry(id, profile)
	if limit := r.inHand.add(e, maxInFlight(workspace)); limit != "" {
		failure := outcome.Refuse(outcome.ReasonWorkspaceLimit, "too many requests of this "+limit+" are in hand")
		return nil, unread(id, profile, failure.WithRetryAfter(time.Second))
	}
	return e, nil
}

// unread turns the refusal of a keyed request whose claim was not read into
// Unknown: this arrival did not run, but an earlier one with the same key, here or
// on another VM, may have, and a crew that reads "not run" would ask anew.
func unread(id Metadata, profile *config.Profile, refused *outcome.Failure) *outcome.Failure {
	if id.IdempotencyKey == "" || profile != nil && profile.Idempotent {
		return refused
	}
	unknown := *refused
	unknown.Outcome = outcome.Unknown
	unknown.Detail += "; an earlier request with this key may have run"
	return &unknown
}

func (r *Router) checkCaller(id Metadata, profile *config.Profile, workspace *config.Workspace) *outcome.Failure {
	if workspace != nil && len(workspace.KeyDigests) > 0 && !r.Authorize(id.BearerKey.Reveal(), workspace.KeyDigests) {
		if id.BearerKey.IsZero() {
			return outcome.Refuse(outcome.ReasonUnauthorized, "the profile's workspace asks for a bearer key")
		}
		return outcome.Refuse(outcome.ReasonForbidden, "the key is not one of the profile's workspace")
	}
	if id.BodyBytes > lowest(profile.Limits.MaxBodyBytes, r.Limits.MaxBodyBytes) {
		return outcome.Refuse(outcome.ReasonTooLarge, "the body is larger than the profile allows")
	}
	return nil
}

func (r *Router) newEntry(id Metadata, profile *config.Profile) *entry {
	deadline := time.Duration(profile.Deadline)
	if deadline <= 0 {
		deadline = r.Limits.Deadline
	}
	if id.CallerTimeout > 0 {
		deadline = min(deadline, id.CallerTimeout)
	}
	e := &entry{
		id:       id,
		profile:  profile,
		pool:     profile.Service,
		deadline: id.Arrival.Add(deadline),
		boundary: dispatch.NewSendGuard(id.RequestID, profile.Idempotent, r.Invariants),
		stage:    PhaseArrived,
		since:    id.Arrival,
	}
	if profile.Class == config.ClassGeneration {
		e.model = chooseModel(profile.Models, id.RequestID)
		e.pool = PoolOfModel(e.model)
	}
	if profile.Class == config.ClassGeneration && profile.Urgency == config.Bulk {
		e.preempt = make(chan struct{}, 1)
	}
	return e
}

// finish gives the request its one outcome and lets it go.
func (r *Router) finish(e *entry, failure *outcome.Failure, epochs int) {
	record := Record{
		RequestID: e.id.RequestID, Profile: e.profile.Name, Workspace: e.profile.Workspace,
		Urgency: e.profile.Urgency, Outcome: outcome.Complete, Arrival: e.id.Arrival,
		Took: time.Since(e.id.Arrival), Tokens: int(e.tokens.Load()), Epochs: epochs,
	}
	r.keep(&record, failure)
	e.end(record.Outcome, r.Invariants)
	r.inHand.remove(e)
	r.Observer.Ended(record)
}

func (r *Router) keep(record *Record, failure *outcome.Failure) {
	if failure == nil {
		return
	}
	record.Outcome, record.Reason = failure.Outcome, failure.Reason
	record.Detail, record.Cause = failure.Detail, failure.Cause
	r.inHand.keepFailure(*record)
}

// refused records a request that was never in hand.
func (r *Router) refused(id Metadata, failure *outcome.Failure) *outcome.Failure {
	record := Record{RequestID: id.RequestID, Profile: id.Profile, Arrival: id.Arrival, Took: time.Since(id.Arrival)}
	if profile := r.ConfigSource.Current().Profiles[id.Profile]; profile != nil {
		record.Workspace, record.Urgency = profile.Workspace, profile.Urgency
	}
	r.keep(&record, failure)
	r.Observer.Ended(record)
	return failure
}

// asFailure turns any error into a failure; one that nobody typed is Unknown,
// which claims least.
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

// withDeadline bounds the context by the request's deadline.
func withDeadline(ctx context.Context, e *entry) (context.Context, context.CancelFunc) {
	return context.WithDeadline(ctx, e.deadline)
}

func maxInFlight(w *config.Workspace) int {
	if w == nil {
		return 0
	}
	return w.MaxInFlight
}

// lowest returns the lower of the bounds, of which 0 means none.
func lowest[T int | int64](bounds ...T) T {
	var low T
	for _, bound := range bounds {
		if bound > 0 && (low == 0 || bound < low) {
			low = bound
		}
	}
	return low
}

func (r *Router) workspaceWeight(name string) int {
	if w := r.ConfigSource.Current().Workspaces[name]; w != nil && w.Weight > 0 {
		return w.Weight
	}
	return 1
}
