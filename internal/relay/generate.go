package relay

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/sleep"
	"geraniumcroft/internal/stall"
)

const (
	// maxSends bounds the sends of one generation, those that were turned away
	// included.
	maxSends = 4
	// maxResends bounds them for a stream that its caller has in part: replicas may turn
	// it away while they are full, which costs little beside the answer so far.
	maxResends = 12
	// budgetPause is the pause between two looks at a retry budget that is spent.
	budgetPause = 100 * time.Millisecond
	// usualPrompt and usualAnswer are the sizes of a generation that states none.
	usualPrompt = 800
	usualAnswer = 200
	// answerCaution is by how much the expected answer exceeds the caller's estimate,
	// which is right at the median and often far off.
	answerCaution = 1.2
)

// generation is one stream on its way to its caller.
type generation struct {
	h     *Handler
	q     *request
	w     http.ResponseWriter
	table *layers.Table
	avoid map[incarnation.Key]bool

	// events is how many events the caller has, sends how often the request was sent.
	events atomic.Int64
	sends  atomic.Int32
	// answered is when the head of the present send's answer came, began when its first event
	// came, zero before.
	answered time.Time
	began    time.Time
	// cleared says that a run of this generation went well.
	cleared bool
	// pace is that of the events so far.
	pace stall.GapStats

	mu sync.Mutex // guards the fields below against the watch of a stalled stream
	// lastEvent is the id of the last event that the caller has.
	lastEvent string
	// runs counts the replicas that may have run the request.
	runs int
	// prepared is a path for the next send, reserved before the present one was ended.
	prepared *layers.Reservation
	// ended says that no further send will follow.
	ended bool
	// begun says that the answer's head has gone out.
	begun bool
}

// generate serves a request along a path of replicas.
func (h *Handler) generate(ctx context.Context, w http.ResponseWriter, q *request) {
	g := &generation{h: h, q: q, w: w, table: h.Pools.of(q.service), avoid: map[incarnation.Key]bool{}, lastEvent: q.LastEventID}
	failure := g.run(ctx)
	g.close()
	h.finish(q, failure)
	switch {
	case failure == nil:
	case !g.begun:
		h.refuse(w, q, failure)
	default:
		// The head is out, so only the end of the connection can say that the answer
		// is not whole.
		panic(http.ErrAbortHandler)
	}
}

func (g *generation) run(ctx context.Context) *outcome.Failure {
	reservation, failure := g.admit(ctx)
	if failure != nil {
		return failure
	}
	for sends := 1; ; sends++ {
		g.sends.Store(int32(sends))
		err := g.send(ctx, reservation)
		if err == nil {
			return nil
		}
		g.q.story.add("send failed", zap.Error(err), zap.Int64("events", g.events.Load()), zap.Duration("ran", g.ran()))
		if reservation = g.takePrepared(); reservation == nil {
			if reservation, failure = g.again(ctx, err); failure != nil {
				return failure
			}
		}
		g.h.Observer.Retry("resume")
	}
}

// ran is how long the present send has run since its answer's head came, 0 if none came.
func (g *generation) ran() time.Duration {
	if g.answered.IsZero() {
		return 0
	}
	return time.Since(g.answered)
}

// again waits for a path for one more send after one has ended.
func (g *generation) again(ctx context.Context, err error) (*layers.Reservation, *outcome.Failure) {
	if failure := g.h.crashes.refusal(g.q); failure != nil {
		return nil, failure.WithCause(err)
	}
	if ctx.Err() != nil || !g.mayResend() || mayHaveArrived(err) && !g.payInTime(ctx) {
		return nil, failureOf(ctx, g.q, err)
	}
	reservation, failure := g.admit(ctx)
	if failure != nil && g.q.boundary.MayHaveRun() {
		failure = outcome.Uncertain(outcome.ReasonTargetFailed, "the replica failed and no other one had room").WithCause(err)
	}
	return reservation, failure
}

// mayResend reports whether the generation may be sent once more.
func (g *generation) mayResend() bool {
	mayRepeat := g.q.profile.Repeatable() || !g.q.boundary.MayHaveRun()
	g.mu.Lock()
	defer g.mu.Unlock()
	resumable := g.events.Load() == 0 || g.q.profile.Resumable && g.lastEvent != ""
	most := maxSends
	if g.events.Load() > 0 {
		most = maxResends
	}
	return mayRepeat && resumable && int(g.sends.Load()) < most && g.runs < max(1, g.q.profile.MaxAttempts)
}

// pay takes one more send out of the retry budget.
func (g *generation) pay() bool {
	return g.h.RetryBudgets.of(g.q.service).Take()
}

// payInTime is pay, but a stream that its caller has in part waits for the budget. To
// end it would cut off an answer that other replicas can still go on with.
func (g *generation) payInTime(ctx context.Context) bool {
	for !g.pay() {
		if !g.begun || !sleep.For(ctx, budgetPause) {
			return false
		}
	}
	return true
}

// prepare reserves a path for one more send while the present one still stands, and
// reports whether the present one may be ended. Without that a stream would be cut off
// that its replica might yet have gone on with. The path is without some replicas and without those
// that are fuller than maxFull, 0 for any; see layers.Query.
func (g *generation) prepare(without []incarnation.Key, maxFull float64) bool {
	verdict := g.h.crashes.judge(g.q)
	if !g.mayResend() || verdict.Quarantined {
		return false
	}
	need := g.need()
	need.MaxUsage = maxFull
	need.Exclude = map[incarnation.Key]bool{}
	for _, k := range without {
		need.Exclude[k] = true
	}
	need.SpareEntries = verdict.SpareReplicas
	reservation, err := g.table.Reserve(need)
	if err != nil {
		return false
	}
	if !g.pay() {
		reservation.Release(false)
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended || g.prepared != nil {
		reservation.Release(false)
		return false
	}
	g.prepared = reservation
	return true
}

func (g *generation) takePrepared() *layers.Reservation {
	g.mu.Lock()
	defer g.mu.Unlock()
	reservation := g.prepared
	g.prepared = nil
	return reservation
}

// close ends the generation's sends and lets go of a path that was prepared in vain.
func (g *generation) close() {
	g.mu.Lock()
	g.ended = true
	g.mu.Unlock()
	if reservation := g.takePrepared(); reservation != nil {
		reservation.Release(false)
	}
}

func (g *generation) need() layers.Query {
	q := g.q
	prompt, answer := q.PromptTokens, q.LikelyAnswerTokens
	if prompt <= 0 {
		prompt = usualPrompt
	}
	if answer <= 0 {
		answer = usualAnswer
	}
	answer = int(answerCaution * float64(answer))
	if q.MaxAnswerTokens > 0 {
		answer = min(answer, q.MaxAnswerTokens)
	}
	// The reservation keeps the need, and the watch of a stalled stream reads it while this
	// send may already be avoiding one replica more: on a shared map that ends the process.
	return layers.Query{Prompt: prompt, Answer: answer, DataCentre: g.h.DataCentre, Exclude: maps.Clone(g.avoid)}
}

// admit waits for a path with room.
func (g *generation) admit(ctx context.Context) (*layers.Reservation, *outcome.Failure) {
	var reservation *layers.Reservation
	var none error
	need := g.need()
	var quarantined *outcome.Failure
	failure := g.h.admit(ctx, g.q, need.Prompt+need.Answer, g.begun, func() bool {
		if quarantined = g.h.crashes.refusal(g.q); quarantined != nil {
			return true
		}
		need.SpareEntries = g.h.crashes.judge(g.q).SpareReplicas // an end may have been counted while it waited
		r, err := g.table.Reserve(need)
		none = nil
		if errors.Is(err, layers.ErrNoPath) || errors.Is(err, layers.ErrNoSpareEntry) || !g.begun && g.h.heldTooLong(g.q, err) != nil {
			none = err
			return true
		}
		reservation = r
		return err == nil
	})
	if failure != nil {
		g.q.story.add("no room", zap.String("why", g.table.Bottleneck(need)))
		return nil, failure
	}
	if quarantined != nil {
		return nil, quarantined
	}
	if errors.Is(none, layers.ErrNoSpareEntry) {
		return nil, g.h.crashes.spared(g.q).WithCause(none)
	}
	if held := g.h.heldTooLong(g.q, none); held != nil {
		return nil, refuseHeld(held)
	}
	if none != nil && len(g.avoid) > 0 {
		g.avoid = map[incarnation.Key]bool{}
		return g.admit(ctx)
	}
	if none != nil {
		return nil, outcome.Refuse(outcome.ReasonNoTarget, "no path covers the model").
			WithRetryAfter(g.h.shortages.retryAfter(lackOfPath+g.q.service, soon)).WithCause(none)
	}
	return reservation, nil
}
