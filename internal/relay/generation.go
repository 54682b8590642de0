package relay

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/overload"
	"geraniumcroft/internal/sleep"
	"geraniumcroft/internal/stall"
)

const (
	// maxSends bounds the sends of one generation, including those that replicas rejected.
	maxSends = 4
	// maxResends bounds them for a stream of which the caller has received a part: full replicas
	// may reject it, which costs little compared with the response so far.
	maxResends = 12
	// maxUnsentSends bounds the sends that reached no replica. Pauses come between those to one replica.
	maxUnsentSends = 40
	// budgetPollInterval is the time between two checks of an exhausted retry budget.
	budgetPollInterval = 100 * time.Millisecond
	// defaultPromptTokens and defaultAnswerTokens are the sizes assumed for a generation that
	// states none.
	defaultPromptTokens = 800
	defaultAnswerTokens = 200
	// answerTokensMargin is the factor by which the expected answer exceeds the caller's estimate,
	// which is right at the median and often far off.
	answerTokensMargin = 1.2
)

// generation is one streamed request, over all its sends.
type generation struct {
	h     *Handler
	q     *request
	w     http.ResponseWriter
	table *layers.Table
	// excluded holds the replicas that the next path must not contain.
	excluded exclusions

	// events is the number of events that the caller has received, sends the number of sends that may have
	// reached a replica, with the current one. unsent is the number of those that did not.
	events atomic.Int64
	sends  atomic.Int32
	unsent atomic.Int32
	// sentAt is when the current send began, responseAt when the head of the current send's response arrived, firstEventAt when its
	// first event did. Both are zero before.
	responseAt   time.Time
	sentAt       time.Time
	firstEventAt time.Time
	// runs counts the replicas that may have run the request.
	runs runTally
	// cleared is set once a run of this generation has succeeded.
	cleared bool
	// gaps are the statistics of the gaps between events so far.
	gaps stall.GapStats

	// headSent is set once the head of the response was sent to the caller.
	headSent bool

	// mu guards the fields below, which the stall watch also uses. Only the goroutine of the request
	// writes lastEvent, so it reads it without mu.
	mu sync.Mutex
	// lastEvent is the id of the last event that the caller has received.
	lastEvent string
	// prepared is a path for the next send, reserved before the current send was ended.
	prepared *layers.Reservation
	// closed is set when no further send will follow.
	closed bool
}

// serveGeneration serves a request along a path of replicas.
func (h *Handler) serveGeneration(ctx context.Context, w http.ResponseWriter, q *request) {
	g := &generation{h: h, q: q, w: w, table: h.Pools.of(q.service), lastEvent: q.LastEventID}
	failure := g.run(ctx)
	g.close()
	q.runs = g.runs.count()
	h.finish(q, failure)
	switch {
	case failure == nil:
	case !g.headSent:
		h.refuse(w, q, failure)
	default:
		// The head was sent before the failure, so only a broken connection can show that the
		// response is incomplete.
		panic(http.ErrAbortHandler)
	}
}

// run sends the generation until its stream has ended or no further send is allowed.
func (g *generation) run(ctx context.Context) *outcome.Failure {
	reservation, failure := g.admit(ctx)
	if failure != nil {
		return failure
	}
	for {
		g.sends.Add(1)
		err := g.send(ctx, reservation)
		if err == nil {
			return nil
		}
		if !mayHaveArrived(err) {
			g.sends.Add(-1)
			g.unsent.Add(1)
		}
		g.q.decisionLog.add("send failed", zap.Error(err), zap.Int64("events", g.events.Load()), zap.Duration("ran", g.runTime()))
		if reservation = g.takePrepared(); reservation == nil {
			if reservation, failure = g.nextReservation(ctx, err); failure != nil {
				return failure
			}
		}
		g.h.Observer.Retry("resume")
	}
}

// runTime returns how long the current send has run since the head of its response arrived, 0
// before.
func (g *generation) runTime() time.Duration {
	if g.responseAt.IsZero() {
		return 0
	}
	return time.Since(g.responseAt)
}

// nextReservation waits for a path for another send after one has ended with err.
func (g *generation) nextReservation(ctx context.Context, err error) (*layers.Reservation, *outcome.Failure) {
	if ctx.Err() == nil && (lacksMemory(err) || errors.Is(err, errTooManyEvents)) {
		return nil, failureOf(ctx, g.q, err)
	}
	if failure := g.h.crashes.refusal(g.q); failure != nil {
		return nil, failure.WithCause(err)
	}
	if ctx.Err() == nil && !g.mayResend() {
		g.q.decisionLog.add("not sent again", zap.Int("runs", g.runs.count()), zap.Int("allowed", g.q.profile.MaxAttempts))
		return nil, failureOf(ctx, g.q, err)
	}
	if ctx.Err() != nil {
		return nil, failureOf(ctx, g.q, err)
	}
	if !mayHaveArrived(err) {
		return g.admitAgain(ctx, err)
	}
	return g.admitRetry(ctx, err)
}

// admitRetry waits for a path and for retry budget. The retry is charged once it has its path: if it were
// charged before, all retries that had waited for the same replicas would arrive in one window,
// beside those charged in that window.
func (g *generation) admitRetry(ctx context.Context, err error) (*layers.Reservation, *outcome.Failure) {
	for g.waitForRetry(ctx) {
		reservation, failure := g.admitAgain(ctx, err)
		if failure != nil || g.takeRetry() {
			return reservation, failure
		}
		reservation.Release(false)
		g.h.Admission.Wake(g.q.service)
	}
	return nil, failureOf(ctx, g.q, err)
}

// admitAgain waits for a path after a send has ended with err.
func (g *generation) admitAgain(ctx context.Context, err error) (*layers.Reservation, *outcome.Failure) {
	reservation, failure := g.admit(ctx)
	if failure != nil && g.q.sendGuard.MayHaveRun() {
		failure = outcome.Uncertain(outcome.ReasonTargetFailed, "the replica failed and no other one had room").WithCause(err)
	}
	return reservation, failure
}

// mayResend reports whether the generation may be sent again. It may query replicas that did not
// respond whether they have ended.
func (g *generation) mayResend() bool {
	mayRepeat := g.q.profile.Repeatable() || !g.q.sendGuard.MayHaveRun()
	limit := maxSends
	if g.events.Load() > 0 {
		limit = maxResends
	}
	if !mayRepeat || !g.resumable() || int(g.sends.Load()) >= limit || g.unsent.Load() >= maxUnsentSends {
		return false
	}
	return !g.runs.reached(max(1, g.q.profile.MaxAttempts), g.hasEnded)
}

// resumable reports whether another send can continue the stream where the caller has it.
func (g *generation) resumable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.events.Load() == 0 || g.q.profile.Resumable && g.lastEvent != ""
}

// hasEnded reports whether a replica is known to have ended.
func (g *generation) hasEnded(replica layers.Replica) bool {
	return probeEnded(g.h.engineEnded(replica.Address, replica.Key())) == endedYes
}

// takeRetry takes one send out of the retry budget and reports whether there was one.
func (g *generation) takeRetry() bool {
	return g.h.RetryBudgets.Budget(g.q.service).Take()
}

// waitForRetry reports whether there is retry budget. It waits for some if the caller has received a part
// of the stream. Ending that stream would cut off a response that other replicas can still continue.
func (g *generation) waitForRetry(ctx context.Context) bool {
	for g.h.RetryBudgets.Budget(g.q.service).Usage().Exhausted() {
		if !g.headSent || !sleep.For(ctx, budgetPollInterval) {
			g.h.logBudgetSpent(g.q)
			return false
		}
	}
	return true
}

// prepareResend reserves a path for another send while the current send continues, and reports
// whether the current one may be ended. Without a reservation, a stream that its replica might
// still continue would be cut off. The path contains none of the excluded replicas and none that is
// fuller than maxUsage, 0 for no limit; see layers.Query.
func (g *generation) prepareResend(exclude []incarnation.Key, maxUsage float64) bool {
	status := g.h.crashes.lookup(g.q)
	if !g.mayResend() || status.Quarantined {
		return false
	}
	query := g.query()
	query.MaxUsage = maxUsage
	query.Exclude = map[incarnation.Key]bool{}
	for _, k := range exclude {
		query.Exclude[k] = true
	}
	query.SpareEntries = status.SpareReplicas
	query.Class = g.q.class.Started()
	reservation, err := g.table.Reserve(query)
	if err != nil {
		return false
	}
	if !g.takeRetry() {
		reservation.Release(false)
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed || g.prepared != nil {
		reservation.Release(false)
		return false
	}
	g.prepared = reservation
	return true
}

// takePrepared returns the path that was prepared for the next send, nil if there is none.
func (g *generation) takePrepared() *layers.Reservation {
	g.mu.Lock()
	defer g.mu.Unlock()
	reservation := g.prepared
	g.prepared = nil
	return reservation
}

// close prevents further sends and releases a prepared path that was not used.
func (g *generation) close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	if reservation := g.takePrepared(); reservation != nil {
		reservation.Release(false)
	}
}

// class returns how the generation competes for a path now.
func (g *generation) class() overload.Class {
	class := g.h.classNow(g.q, time.Now())
	if g.headSent {
		return class.Started()
	}
	return class
}

// query returns the query for a path, with default sizes where the caller states none.
func (g *generation) query() layers.Query {
	q := g.q
	prompt, answer := q.PromptTokens, q.LikelyAnswerTokens
	if prompt <= 0 {
		prompt = defaultPromptTokens
	}
	if answer <= 0 {
		answer = defaultAnswerTokens
	}
	answer = int(answerTokensMargin * float64(answer))
	if q.MaxAnswerTokens > 0 {
		answer = min(answer, q.MaxAnswerTokens)
	}
	// The reservation keeps the query, and the stall watch reads it while this send may already be
	// excluding another replica.
	return layers.Query{Prompt: prompt, Answer: answer, DataCentre: g.h.DataCentre, Exclude: g.excluded.snapshot()}
}

// admit waits for a path with capacity.
func (g *generation) admit(ctx context.Context) (*layers.Reservation, *outcome.Failure) {
	if reservation, failure, handled := g.allocate(ctx); handled {
		return reservation, failure
	}
	var reservation *layers.Reservation
	var pathErr error
	query := g.query()
	var quarantined *outcome.Failure
	failure := g.h.admit(ctx, g.q, query.Prompt+query.Answer, g.headSent, func() bool {
		if quarantined = g.h.crashes.refusal(g.q); quarantined != nil {
			return true
		}
		query.SpareEntries = g.h.crashes.lookup(g.q).SpareReplicas // a crash may have been recorded during the wait
		query.Class = g.class()
		if !g.headSent {
			query.FirstEventWithin, query.Gap = g.q.timeToObjective(), g.q.profile.Gap
		}
		r, err := g.table.Reserve(query)
		pathErr = nil
		if errors.Is(err, layers.ErrNoPath) || errors.Is(err, layers.ErrNoSpareEntry) || !g.headSent && g.h.throttledTooLong(g.q, err) != nil {
			pathErr = err
			return true
		}
		reservation = r
		return err == nil
	})
	if failure != nil {
		g.q.decisionLog.add("no path with capacity", zap.String("why", g.table.Bottleneck(query)))
		return nil, failure
	}
	if quarantined != nil {
		return nil, quarantined
	}
	if errors.Is(pathErr, layers.ErrNoSpareEntry) {
		return nil, g.h.crashes.lastEntryRefusal(g.q).WithCause(pathErr)
	}
	if throttled := g.h.throttledTooLong(g.q, pathErr); throttled != nil {
		return nil, refuseThrottled(throttled)
	}
	if pathErr != nil && g.mayWaitForPath() && g.excluded.waitForPath(ctx, func() bool { return g.table.HasPath(g.query()) }) {
		return g.admit(ctx)
	}
	if pathErr != nil {
		return nil, outcome.Refuse(outcome.ReasonNoTarget, "no path covers the model").
			WithRetryAfter(g.h.shortages.retryAfter(pathShortage+g.q.service, defaultRetryAfter)).WithCause(pathErr)
	}
	g.h.recordStart(g.q)
	return reservation, nil
}

// mayWaitForPath reports whether the generation may wait for a path that does not exist now. A stream that has
// not begun waits no longer than it would in the queue.
func (g *generation) mayWaitForPath() bool {
	return g.headSent || time.Since(g.q.arrival) < g.h.queueWait(g.q)
}
