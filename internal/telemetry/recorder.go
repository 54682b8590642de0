package telemetry

import (
	"cmp"
	"time"

	"github.com/uber-go/tally/v4"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/outcome"
)

// other is the tag value for names beyond a limit.
const other = "other"

// Limits on the number of names per metric; the first two are defaults of RecorderOptions.
const (
	defaultMaxWorkspaces = 200
	defaultMaxTargets    = 800
	maxReasons           = 128
	maxRetryKinds        = 16
	maxInvariants        = 32
	maxHopResults        = 8
	maxAllocationResults = 8
)

// Recorder records the metrics of requests. Its methods are safe for concurrent use and do
// not block. They allocate only at the first use of a name.
type Recorder struct {
	requests   *boundedMap[requestKey, tally.Counter]
	refused    *boundedMap[outcome.Reason, tally.Counter]
	workspaces *boundedMap[string, *byOutcome]
	targets    *boundedMap[string, *byResult]
	retries    *boundedMap[string, tally.Counter]
	violations *boundedMap[invariant.Name, tally.Counter]
	// passedOn and throughPeers count connections to replicas that this VM made for peers, and that
	// peers made for it.
	passedOn     *boundedMap[string, tally.Counter]
	throughPeers *boundedMap[string, tally.Counter]
	// allocations counts the paths that this VM asked an allocator for.
	allocations *boundedMap[string, tally.Counter]

	staleEvents tally.Counter
	preempted   tally.Counter

	queued        byUrgency
	firstToken    byUrgency
	betweenTokens byUrgency
	request       byUrgency
}

// NewRecorder returns a recorder that adds its metrics to scope.
func NewRecorder(scope tally.Scope, o RecorderOptions) *Recorder {
	o.MaxWorkspaces = cmp.Or(o.MaxWorkspaces, defaultMaxWorkspaces)
	o.MaxTargets = cmp.Or(o.MaxTargets, defaultMaxTargets)
	return &Recorder{
		requests:      newBoundedMap(maxReasons, requestKey{reason: other}, requestCounter(scope)),
		refused:       newBoundedMap(maxReasons, other, taggedCounter[outcome.Reason](scope, "input_refused_total", "reason")),
		workspaces:    newBoundedMap(o.MaxWorkspaces, other, workspaceCounters(scope)),
		targets:       newBoundedMap(o.MaxTargets, other, targetCounters(scope)),
		retries:       newBoundedMap(maxRetryKinds, other, taggedCounter[string](scope, "retries_total", "kind")),
		violations:    newBoundedMap(maxInvariants, invariant.Name(other), taggedCounter[invariant.Name](scope, "invariant_violations_total", "invariant")),
		passedOn:      newBoundedMap(maxHopResults, other, taggedCounter[string](scope, "connections_passed_on_total", "result")),
		allocations:   newBoundedMap(maxAllocationResults, other, taggedCounter[string](scope, "path_allocations_total", "result")),
		throughPeers:  newBoundedMap(maxHopResults, other, taggedCounter[string](scope, "connections_through_peers_total", "result")),
		staleEvents:   scope.Counter("stale_events_total"),
		preempted:     scope.Counter("preemptions_total"),
		queued:        histograms(scope, "queue_seconds", queueBuckets),
		firstToken:    histograms(scope, "first_token_seconds", firstTokenBuckets),
		betweenTokens: histograms(scope, "between_tokens_seconds", betweenTokensBuckets),
		request:       histograms(scope, "request_seconds", requestBuckets),
	}
}

// RequestEnded counts a request by its outcome and records its duration. The reason is empty
// for a complete request; the workspace is empty if no profile was found.
func (r *Recorder) RequestEnded(o outcome.Outcome, reason outcome.Reason, u config.Urgency, workspace string, took time.Duration) {
	r.requests.get(requestKey{outcome: o, reason: reason, urgency: u}).Inc(1)
	r.workspaces.get(workspace)[o].Inc(1)
	r.request[u].RecordDuration(took)
}

// InputRefused counts a request that the callers' API refused before it was assigned to a
// profile and workspace.
func (r *Recorder) InputRefused(reason outcome.Reason) { r.refused.get(reason).Inc(1) }

// Queued records the time that a request waited in the admission queue.
func (r *Recorder) Queued(u config.Urgency, took time.Duration) { r.queued[u].RecordDuration(took) }

// FirstToken records the time from a request's arrival to its first token.
func (r *Recorder) FirstToken(u config.Urgency, took time.Duration) {
	r.firstToken[u].RecordDuration(took)
}

// BetweenTokens records the time between two tokens of one stream.
func (r *Recorder) BetweenTokens(u config.Urgency, took time.Duration) {
	r.betweenTokens[u].RecordDuration(took)
}

// TargetResult counts an attempt on a target by its result.
func (r *Recorder) TargetResult(target string, ok bool) {
	counters := r.targets.get(target)
	if ok {
		counters.ok.Inc(1)
		return
	}
	counters.failed.Inc(1)
}

// Retry counts an attempt after a request's first one. The kind is a constant of the program
// such as "retry" or "hedge".
func (r *Recorder) Retry(kind string) { r.retries.get(kind).Inc(1) }

// PassedOn implements hop.Observer.
func (r *Recorder) PassedOn(result string) { r.passedOn.get(result).Inc(1) }

// SentThroughPeer implements hop.Observer.
func (r *Recorder) SentThroughPeer(result string) { r.throughPeers.get(result).Inc(1) }

// PathAllocated implements relay.Observer.
func (r *Recorder) PathAllocated(result string) { r.allocations.get(result).Inc(1) }

// StaleEvent counts an event that was dropped because its epoch is outdated.
func (r *Recorder) StaleEvent() { r.staleEvents.Inc(1) }

// Preempted counts a stream that was cancelled in favour of urgent requests and is resumed
// later.
func (r *Recorder) Preempted() { r.preempted.Inc(1) }

// Violation counts a violated invariant.
func (r *Recorder) Violation(name invariant.Name) { r.violations.get(name).Inc(1) }
