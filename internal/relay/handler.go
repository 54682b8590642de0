package relay

import (
	"context"
	"io"
	"net/http"
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
	// defaultDeadline holds where neither caller nor profile says one.
	defaultDeadline = 30 * time.Second
	// answerMargin is kept off the deadline, so that the last answer still arrives: the
	// way to the caller and back, and one late turn of the processor.
	answerMargin = 30 * time.Millisecond
	// bodyTime bounds the reading of a request's body.
	bodyTime = 10 * time.Second
	// staleAfter is the age of the configuration from which an unknown key or path may
	// be this VM's ignorance and not the caller's mistake: a caller with a key that was
	// added while the VM heard nothing would be told 401, and not come back. Copies are
	// confirmed within 2 s in calm times.
	staleAfter = 3 * time.Second
	// maxHeldBodies bounds the bytes of all bodies in hand, beside one more for each
	// connection that is being read. A VM has 184 MB and more.
	maxHeldBodies = 48 << 20
	// soon is when a request comes back that this VM could not serve for a reason that
	// passes or that other VMs don't have.
	soon = 200 * time.Millisecond
)

// Gate says whether this VM takes new requests.
type Gate interface {
	Check() *outcome.Failure
}

// Observer takes measurements; it must not block.
type Observer interface {
	Queued(u config.Urgency, took time.Duration)
	FirstToken(u config.Urgency, took time.Duration)
	RequestEnded(o outcome.Outcome, reason outcome.Reason, u config.Urgency, workspace string, took time.Duration)
	Retry(kind string)
}

// Options are the parts that a Handler is put together from.
type Options struct {
	DataCentre   string
	ConfigSource ConfigSource
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
	// Quarantine knows requests that crash replicas, and News tells other VMs of them.
	Quarantine         *quarantine.Ledger
	QuarantineNotifier QuarantineNotifier
	// Pushback keeps what replicas ask of those who send to them.
	Pushback *pushback.Ledger
	// Incarnations are discovery's; nil leaves restarts of plain replicas uncounted.
	Incarnations Incarnations
	Logger       *zap.Logger
}

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	Options
	asking  *asking
	prober  *stageProber
	watches *stallWatches
	// shortages tell refused callers when to come back.
	shortages *shortages
	crashes   *crashGuard
	inHand    atomic.Int64
	// heldBodies is how many bytes of bodies are in hand.
	heldBodies atomic.Int64
}

// New returns a handler.
func New(o Options) *Handler {
	o.Balancer.OnFree(o.Admission.Wake)
	h := &Handler{Options: o, asking: newAsking(o.Engines), watches: newStallWatches(), shortages: newShortages(), crashes: newCrashGuard(o)}
	h.prober = newStageProber(h.touch)
	return h
}

// touch opens a connection to a replica and closes it.
func (h *Handler) touch(ctx context.Context, address string) error {
	conn, err := h.connect(ctx, address)
	if err == nil {
		conn.Close()
	}
	return err
}

// InHand returns how many requests have arrived and not ended.
func (h *Handler) InHand() int { return int(h.inHand.Load()) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inHand.Add(1)
	defer h.inHand.Add(-1)
	q := &request{
		Inbound: h.Codec.Decode(r.Header), method: r.Method, host: r.Host, url: r.URL, header: r.Header, arrival: time.Now(),
	}
	q.story.id = q.RequestID
	defer func() { h.heldBodies.Add(-int64(len(q.body))) }()
	if failure := h.begin(q, w, r); failure != nil {
		h.finish(q, failure)
		h.refuse(w, q, failure)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	if h.Pools.of(q.service) != nil {
		h.generate(ctx, w, q)
		return
	}
	h.call(ctx, w, q)
}

// begin looks the request up and reads it whole. Nothing has been sent, so every
// failure is "not run".
func (h *Handler) begin(q *request, w http.ResponseWriter, r *http.Request) *outcome.Failure {
	q.config = h.ConfigSource.Config()
	if listener.AboveLimit(r.Context()) {
		w.Header().Set("Connection", "close")
		return outcome.Refuse(outcome.ReasonOverloaded, "this VM has as many connections as it can serve").
			WithRetryAfter(h.shortages.retryAfter(lackOfConnections, soon))
	}
	if failure := h.Gate.Check(); failure != nil {
		if q.config == nil {
			return failure.WithRetryAfter(h.shortages.retryAfter(lackOfConfig, soon))
		}
		return failure.WithRetryAfter(soon)
	}
	if q.config == nil {
		return outcome.Refuse(outcome.ReasonStopping, "this VM has no configuration yet").WithRetryAfter(h.shortages.retryAfter(lackOfConfig, soon))
	}
	if failure := h.look(q, r); failure != nil {
		return failure
	}
	if failure := h.read(q, w, r); failure != nil {
		return failure
	}
	q.digest = q.contentDigest()
	q.deadline = q.arrival.Add(h.patience(q) - answerMargin)
	q.boundary = dispatch.NewSendGuard(q.RequestID, q.profile.Repeatable(), h.Invariants)
	q.service = q.profile.service(q.hash())
	h.RetryBudgets.of(q.service).Credit()
	return h.crashes.refusal(q)
}

// look finds the profile and the workspace.
func (h *Handler) look(q *request, r *http.Request) *outcome.Failure {
	q.profile = q.config.Match(r.Host, r.URL.Path)
	if q.profile == nil {
		return h.unknown(outcome.ReasonUnknownProfile, "no profile has this host and path")
	}
	q.priority = q.profile.Priority
	if !q.config.RequiresKey() || q.profile.Public {
		return nil
	}
	workspace := q.config.Workspace(q.Key)
	if workspace == nil {
		return h.unknown(outcome.ReasonUnauthorized, "the key is not known")
	}
	q.workspace = workspace.Name
	if workspace.HasPriority {
		q.priority = workspace.Priority
	}
	return nil
}

// unknown refuses what this VM does not know. While its configuration may be old the
// caller is told to come back, because it may be right.
func (h *Handler) unknown(reason outcome.Reason, detail string) *outcome.Failure {
	if age := h.ConfigSource.ConfigAge(); age > staleAfter {
		return outcome.Refuse(outcome.ReasonIsolated, "this VM may not have the configuration in force").WithRetryAfter(asLongAgain(age, soon))
	}
	return outcome.Refuse(reason, detail)
}

func (h *Handler) patience(q *request) time.Duration {
	patience := q.profile.Timeout
	if patience <= 0 {
		patience = defaultDeadline
	}
	if q.CallerTimeout > 0 {
		patience = min(patience, q.CallerTimeout)
	}
	return patience
}

// read takes the body in whole, so that a replica which answers early never leaves a
// rest of it under way, and a second send has all of it.
func (h *Handler) read(q *request, w http.ResponseWriter, r *http.Request) *outcome.Failure {
	if limit := q.config.Limits.HeaderBytes; limit > 0 && headerBytes(r) > limit {
		return outcome.Refuse(outcome.ReasonHeadersTooLarge, "the request's head is larger than allowed")
	}
	limit := q.config.Limits.BodyBytes
	if r.ContentLength == 0 {
		return nil
	}
	if h.heldBodies.Load() > maxHeldBodies {
		return outcome.Refuse(outcome.ReasonOverloaded, "this VM holds too many bodies").WithRetryAfter(soon)
	}
	if limit > 0 && r.ContentLength > limit {
		return outcome.Refuse(outcome.ReasonTooLarge, "the body is larger than allowed")
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTime)) // a connection that takes none is bounded by its caller
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	body := r.Body
	if limit > 0 {
		body = http.MaxBytesReader(w, r.Body, limit)
	}
	whole, err := io.ReadAll(body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return outcome.Refuse(outcome.ReasonTooLarge, "the body is larger than allowed")
	case err != nil:
		return outcome.Refuse(outcome.ReasonBadRequest, "the body did not arrive whole").WithCause(err)
	}
	q.body = whole
	h.heldBodies.Add(int64(len(whole)))
	return nil
}

func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return n
}
