package telemetry

import (
	"cmp"
	"time"

	"github.com/uber-go/tally/v4"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/outcome"
)

// other is the tag of names beyond a limit.
const other = "other"

// The limits on names, where RecorderOptions leave them.
const (
	defaultMaxWorkspaces = 200
	defaultMaxTargets    = 800
	maxReasons           = 128
	maxRetryKinds        = 16
	maxInvariants        = 32
)

// Recorder counts and times what happens to requests. Its methods are safe for
// concurrent use, do not block and do not allocate.
type Recorder struct {
	requests   *boundedNames[requestKey, tally.Counter]
	refused    *boundedNames[outcome.Reason, tally.Counter]
	workspaces *boundedNames[string, *byOutcome]
	targets    *boundedNames[string, *byResult]
	retries    *boundedNames[string, tally.Counter]
	violations *boundedNames[invariant.Name, tally.Counter]

	staleEvents tally.Counter
	preempted   tally.Counter

	queued        byUrgency
	firstToken    byUrgency
	betweenTokens byUrgency
	whole         byUrgency
}

// NewRecorder returns a recorder whose metrics are below scope.
func NewRecorder(scope tally.Scope, o RecorderOptions) *Recorder {
	o.MaxWorkspaces = cmp.Or(o.MaxWorkspaces, defaultMaxWorkspaces)
	o.MaxTargets = cmp.Or(o.MaxTargets, defaultMaxTargets)
	return &Recorder{
		requests:      newBoundedNames(maxReasons, requestKey{reason: other}, requestCounter(scope)),
		refused:       newBoundedNames(maxReasons, other, taggedCounter[outcome.Reason](scope, "input_refused_total", "reason")),
		workspaces:    newBoundedNames(o.MaxWorkspaces, other, workspaceCounters(scope)),
		targets:       newBoundedNames(o.MaxTargets, other, targetCounters(scope)),
		retries:       newBoundedNames(maxRetryKinds, other, taggedCounter[string](scope, "retries_total", "kind")),
		violations:    newBoundedNames(maxInvariants, invariant.Name(other), taggedCounter[invariant.Name](scope, "invariant_violations_total", "invariant")),
		staleEvents:   scope.Counter("stale_events_total"),
		preempted:     scope.Counter("preemptions_total"),
		queued:        histograms(scope, "queue_seconds", queueBuckets),
		firstToken:    histograms(scope, "first_token_seconds", firstTokenBuckets),
		betweenTokens: histograms(scope, "between_tokens_seconds", betweenTokensBuckets),
		whole:         histograms(scope, "request_seconds", wholeBuckets),
	}
}

// RequestEnded counts a request by its outcome. The reason is empty for a
// complete one; the workspace is empty when no profile was found.
func (r *Recorder) RequestEnded(o outcome.Outcome, reason outcome.Reason, u config.Urgency, workspace string, took time.Duration) {
	r.requests.get(requestKey{outcome: o, reason: reason, urgency: u}).Inc(1)
	r.workspaces.get(workspace)[o].Inc(1)
	r.whole[u].RecordDuration(took)
}

// InputRefused counts a request that the callers' API refused before it was one
// of any profile or workspace.
func (r *Recorder) InputRefused(reason outcome.Reason) { r.refused.get(reason).Inc(1) }

// Queued records the time that a request waited in admission.
func (r *Recorder) Queued(u config.Urgency, took time.Duration) { r.queued[u].RecordDuration(took) }

// FirstToken records the time from a request's arrival to its first token.
func (r *Recorder) FirstToken(u config.Urgency, took time.Duration) {
	r.firstToken[u].RecordDuration(took)
}

// BetweenTokens records the time between two tokens of one stream.
func (r *Recorder) BetweenTokens(u config.Urgency, took time.Duration) {
	r.betweenTokens[u].RecordDuration(took)
}

// TargetResult counts an attempt on a target.
func (r *Recorder) TargetResult(target string, ok bool) {
	counters := r.targets.get(target)
	if ok {
		counters.ok.Inc(1)
		return
	}
	counters.failed.Inc(1)
}

// Retry counts an attempt beyond a request's first; kind is a constant of the
// program such as "retry" or "hedge".
func (r *Recorder) Retry(kind string) { r.retries.get(kind).Inc(1) }

// StaleEvent counts an event of an older epoch that was dropped.
func (r *Recorder) StaleEvent() { r.staleEvents.Inc(1) }

// Preempted counts a stream that was cancelled for urgent work, to be resumed.
func (r *Recorder) Preempted() { r.preempted.Inc(1) }

// Violation counts a violated invariant.
func (r *Recorder) Violation(name invariant.Name) { r.violations.get(name).Inc(1) }
