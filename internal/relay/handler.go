package relay

import (
	"context"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"geraniumcroft/internal/admission"
	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/config"
	"geraniumcroft/internal/dispatch"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/listener"
	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/pushback"
	"geraniumcroft/internal/quarantine"
	"geraniumcroft/internal/transport"
)

const (
	// defaultTimeout applies if neither the caller nor the profile sets a timeout.
	defaultTimeout = 30 * time.Second
	// responseMargin is subtracted from the deadline so that the last response still arrives in
	// time. It covers the network path to the caller and back, and one scheduling delay.
	responseMargin = 30 * time.Millisecond
	// staleAfter is the age of the configuration above which an unknown key or path may be missing
	// on this VM, rather than being the caller's mistake. Without it, a caller whose key was added
	// while the VM was cut off would get 401 and not retry. Copies are confirmed within 2 s in
	// normal operation.
	staleAfter = 3 * time.Second
	// defaultRetryAfter is when to retry a request that this VM could not serve for a reason that
	// is temporary or does not apply to other VMs.
	defaultRetryAfter = 200 * time.Millisecond
)

// Gate decides whether this VM accepts new requests. Check returns nil if it does.
type Gate interface {
	Check() *outcome.Failure
}

// Reach tells whether this VM reaches the replicas.
type Reach interface {
	// CutOff reports whether this VM reaches no replica by itself, while peers do. It does not block.
	CutOff() bool
	// CutOffSince reports whether this VM was cut off at a time or later, so that connections which
	// broke then prove nothing about replicas. It may wait for probes.
	CutOffSince(ctx context.Context, at time.Time) bool
}

// Observer receives measurements. Its methods must not block.
type Observer interface {
	Queued(u config.Urgency, took time.Duration)
	FirstToken(u config.Urgency, took time.Duration)
	RequestEnded(o outcome.Outcome, reason outcome.Reason, u config.Urgency, workspace string, took time.Duration)
	Retry(kind string)
	// PathAllocated counts a path that an allocator was asked for, by the result: "allocated", "refused" or
	// "chosen here".
	PathAllocated(result string)
}

// Options are the dependencies of a Handler.
type Options struct {
	DataCentre   string
	ConfigSource ConfigSource
	// ReplicaList is the list of replicas by which targets and paths are chosen; nil if there is none.
	ReplicaList  ReplicaList
	Codec        Codec
	Gate         Gate
	Admission    *admission.Controller
	Balancer     *balance.Balancer
	Pools        *Pools
	RetryBudgets *RetryBudgets
	Engines      Engines
	Pool         *transport.Pool
	Observer     Observer
	Invariants   *invariant.Registry
	// Quarantine records requests that crash replicas, QuarantineNotifier publishes its changes to
	// other VMs.
	Quarantine         *quarantine.Ledger
	QuarantineNotifier QuarantineNotifier
	// Pushback records what replicas ask of those that send to them.
	Pushback *pushback.Ledger
	// Saturated reports whether this VM is short of processor time, nil if that is not known.
	Saturated func() bool
	// Reach tells whether this VM reaches the replicas.
	Reach Reach
	// Allocator chooses the paths of competing requests; nil if this VM chooses by itself.
	Allocator PathAllocator
	// Overload is the state of services whose profiles differ in priority.
	Overload *OverloadControl
	// Incarnations is provided by discovery. If it is nil, restarts of plain replicas are not
	// counted.
	Incarnations Incarnations
	// BodyMemory bounds the bytes of all bodies of requests that are held at a time, 0 for a bound that suits the
	// smallest VM. With those of answers they take up to half as much again.
	BodyMemory int64
	Logger     *zap.Logger
}

// Handler serves the requests of callers. It is safe for concurrent use.
type Handler struct {
	Options
	reportCache *reportCache
	prober      *stageProber
	watches     *stallWatches
	// shortages determines when refused callers should retry.
	shortages *shortages
	crashes   *crashGuard
	inHand    atomic.Int64
	bodies    *bodyMemory
	// answerSizes estimates the memory that the answers to calls need.
	answerSizes *answerSizes
}

// New returns a handler with the given dependencies.
func New(o Options) *Handler {
	o.Balancer.OnFree(o.Admission.Wake)
	h := &Handler{Options: o, reportCache: newReportCache(o.Engines), watches: newStallWatches(), shortages: newShortages(), crashes: newCrashGuard(o), bodies: newBodyMemory(o.BodyMemory), answerSizes: newAnswerSizes()}
	h.prober = newStageProber(h.probeConnect)
	return h
}

// probeConnect opens a connection to a replica and closes it.
func (h *Handler) probeConnect(ctx context.Context, address string) error {
	conn, err := h.connect(ctx, address)
	if err == nil {
		conn.Close()
	}
	return err
}

// BodyMemory returns how much memory the bodies of requests and answers take.
func (h *Handler) BodyMemory() BodyMemoryUsage { return h.bodies.usage() }

// InHand returns the number of requests that have arrived and not ended.
func (h *Handler) InHand() int { return int(h.inHand.Load()) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inHand.Add(1)
	defer h.inHand.Add(-1)
	q := &request{
		Inbound: h.Codec.Decode(r.Header), method: r.Method, host: r.Host, url: r.URL, header: r.Header, arrival: time.Now(),
	}
	q.decisionLog.id = q.RequestID
	defer q.releaseBody()
	if failure := h.accept(q, w, r); failure != nil {
		h.finish(q, failure)
		h.refuse(w, q, failure)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	if h.Pools.of(q.service) != nil {
		h.serveGeneration(ctx, w, q)
		return
	}
	h.serveCall(ctx, w, q)
}

// accept looks up the request's profile and reads its body. Nothing has been sent yet, so every
// failure is "not run".
func (h *Handler) accept(q *request, w http.ResponseWriter, r *http.Request) *outcome.Failure {
	q.config = h.ConfigSource.Config()
	if listener.AboveLimit(r.Context()) {
		w.Header().Set("Connection", "close")
		return outcome.Refuse(outcome.ReasonOverloaded, "this VM has as many connections as it can serve").
			WithRetryAfter(h.shortages.retryAfter(connectionShortage, defaultRetryAfter))
	}
	if h.Saturated != nil && h.Saturated() {
		w.Header().Set("Connection", "close") // the next request on a new connection may reach another VM
		return outcome.Refuse(outcome.ReasonOverloaded, "this VM is short of processor time").
			WithRetryAfter(h.shortages.retryAfter(processorShortage, defaultRetryAfter))
	}
	if failure := h.Gate.Check(); failure != nil {
		if q.config == nil {
			return failure.WithRetryAfter(h.shortages.retryAfter(configShortage, defaultRetryAfter))
		}
		return failure.WithRetryAfter(defaultRetryAfter)
	}
	if q.config == nil {
		return outcome.Refuse(outcome.ReasonStopping, "this VM has no configuration yet").WithRetryAfter(h.shortages.retryAfter(configShortage, defaultRetryAfter))
	}
	if failure := h.resolve(q, r); failure != nil {
		return failure
	}
	q.deadline = q.arrival.Add(h.timeout(q) - responseMargin)
	if h.bodies.full() {
		return h.refuseBody(errNoBodyMemory)
	}
	if failure := h.readBody(q, w, r); failure != nil {
		return failure
	}
	q.sendGuard = dispatch.NewSendGuard(q.RequestID, q.profile.Repeatable(), h.Invariants)
	q.service = q.profile.service(q.hash())
	q.identify()
	h.classify(q)
	h.RetryBudgets.Budget(q.service).Credit()
	return h.crashes.refusal(q)
}

// resolve finds the request's profile and workspace.
func (h *Handler) resolve(q *request, r *http.Request) *outcome.Failure {
	path, ok := sentPath(r)
	if !ok {
		return outcome.Refuse(outcome.ReasonBadRequest, "the path has characters that a URL must not hold")
	}
	q.profile = q.config.Match(r.Host, path)
	if q.profile == nil {
		return h.refuseUnknown(outcome.ReasonUnknownProfile, "no profile has this host and path")
	}
	q.priority = q.profile.Priority
	if !q.config.RequiresKey() || q.profile.Public {
		return nil
	}
	workspace := q.config.Workspace(q.Key)
	if workspace == nil {
		return h.refuseUnknown(outcome.ReasonUnauthorized, "the key is not known")
	}
	q.workspace = workspace.Name
	if workspace.HasPriority {
		q.priority = workspace.Priority
	}
	return nil
}

// refuseUnknown refuses a request whose profile or key this VM does not know. While the
// configuration may be outdated, the caller is asked to retry, because the request may be valid.
func (h *Handler) refuseUnknown(reason outcome.Reason, detail string) *outcome.Failure {
	if age := h.ConfigSource.ConfigAge(); age > staleAfter {
		return outcome.Refuse(outcome.ReasonIsolated, "this VM may not have the configuration in force").WithRetryAfter(retryAfterFor(age, defaultRetryAfter))
	}
	return outcome.Refuse(reason, detail)
}

// timeout returns the profile's timeout or else the default, but no more than the caller's.
func (h *Handler) timeout(q *request) time.Duration {
	timeout := q.profile.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if q.CallerTimeout > 0 {
		timeout = min(timeout, q.CallerTimeout)
	}
	return timeout
}

// readBody reads the whole body, so that a replica that responds early never leaves a part of it
// unsent, and a second send has all of it.
func (h *Handler) readBody(q *request, w http.ResponseWriter, r *http.Request) *outcome.Failure {
	if limit := q.config.Limits.HeaderBytes; limit > 0 && headerBytes(r) > limit {
		return outcome.Refuse(outcome.ReasonHeadersTooLarge, "the request's head is larger than allowed")
	}
	limit := q.config.Limits.BodyBytes
	if r.ContentLength == 0 {
		return nil
	}
	if limit > 0 && r.ContentLength > limit {
		return outcome.Refuse(outcome.ReasonTooLarge, "the body is larger than allowed")
	}
	buffer, err := newBodyBuffer(h.bodies, r.ContentLength)
	if err != nil {
		return h.refuseBody(err)
	}
	q.bodyBuffer = buffer
	control := http.NewResponseController(w)
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	body := r.Body
	if limit > 0 {
		body = http.MaxBytesReader(w, r.Body, limit)
	}
	if err := buffer.readFrom(newBodyProgress(body, control.SetReadDeadline, q.deadline)); err != nil {
		return h.refuseBody(err)
	}
	q.body = buffer.data
	return nil
}

// refuseBody refuses a request whose body was not read whole.
func (h *Handler) refuseBody(err error) *outcome.Failure {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoBodyMemory):
		return outcome.Refuse(outcome.ReasonOverloaded, "this VM holds too many bodies").
			WithRetryAfter(h.shortages.retryAfter(bodyShortage, defaultRetryAfter)).WithCause(err)
	case errors.As(err, &tooLarge):
		return outcome.Refuse(outcome.ReasonTooLarge, "the body is larger than allowed")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return outcome.Refuse(outcome.ReasonBodyTimeout, "the body did not arrive in time").WithCause(err)
	}
	return outcome.Refuse(outcome.ReasonBadRequest, "the body did not arrive whole").WithCause(err)
}

// headerBytes returns the approximate size of the request's head.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return n
}
