package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"geraniumcroft/internal/allocator"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/pushback"
)

// A stream may have maxEventsFactor events for each token that the caller allows, and extraEvents without a token.
const (
	maxEventsFactor = 2
	extraEvents     = 16
)

// errTooManyEvents reports a stream that goes on after its last token.
var errTooManyEvents = errors.New("the stream has more events than its caller allows tokens")

// send sends the generation along the reserved path and forwards its events to the caller.
func (g *generation) send(ctx context.Context, reservation *layers.Reservation) (err error) {
	started := time.Now()
	g.sentAt = started
	g.responseAt, g.firstEventAt = time.Time{}, time.Time{}
	defer func() {
		reservation.Release(err == nil)
		g.h.Admission.Finished(g.q.service, time.Since(started))
		g.h.Admission.Wake(g.q.service)
	}()
	path := reservation.Path()
	first := path.First()
	g.h.Invariants.Check(path.Covers(g.table.Layers()), invariant.LayersOnceInOrder, "path %s", path)
	g.q.progress.path = path.String()
	g.q.progress.sends++
	g.h.prober.budget.Sent()
	g.q.decisionLog.add("path chosen", g.h.logList(zap.String("path", g.q.progress.path), zap.Duration("left", g.q.remaining()), zap.String("lastEvent", g.lastEvent))...)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := newStallWatch(ctx, g, reservation, cancel)
	defer watch.stop()
	g.runs.beginSend()
	x, err := g.h.open(ctx, g.q, target{address: first.Address, incarnation: first.Key(), dataCentre: first.DataCentre, path: path}, g.lastEvent)
	if err != nil {
		g.recordNoResponse(ctx, first, err)
		return g.handleSendError(ctx, first, err)
	}
	defer x.close()
	if x.head.NotRun {
		g.runs.discount()
		return g.handleRejection(x, path)
	}
	g.responseAt = time.Now()
	g.runs.recordResponse()
	if x.resp.StatusCode != http.StatusOK {
		return g.forwardFailure(ctx, x, first)
	}
	if err := g.forwardEvents(x, first, watch); err != nil {
		return g.handleSendError(ctx, first, err)
	}
	return nil
}

// recordNoResponse records in the tally of runs that a send has ended without a response.
func (g *generation) recordNoResponse(ctx context.Context, first layers.Replica, err error) {
	var lost *wayLostError
	if !mayHaveArrived(err) || errors.As(context.Cause(ctx), &lost) {
		g.runs.discount()
		return
	}
	g.runs.recordNoResponse(first)
}

// handleSendError excludes the replica at fault from the next path: the first one, unless the
// stream stalled at another. It excludes none if the caller has left, the deadline has passed or
// the replica is throttled. It returns the error that ended the send.
func (g *generation) handleSendError(ctx context.Context, first layers.Replica, err error) error {
	cause := context.Cause(ctx)
	var stalled *stallError
	var lost *wayLostError
	var throttled *pushback.ThrottledError
	var departed *departedError
	switch {
	case errors.As(err, &throttled), errors.As(err, &departed):
		return err // another path, or this one later; the replica is healthy
	case errors.As(cause, &stalled):
		g.excluded.add(stalled.Replica.Key())
		g.q.progress.replicaLeft(stalled.Replica.Address, stalled.Why)
		return cause
	case errors.As(cause, &lost):
		g.q.progress.replicaLeft(first.Address, "this VM was cut off")
		return cause
	case ctx.Err() != nil, lacksMemory(err):
		return err
	}
	g.excluded.add(first.Key())
	g.table.Suspect(first)
	g.q.progress.replicaLeft(first.Address, "its connection broke")
	if mayHaveArrived(err) && g.inCrashWindow() {
		g.h.crashes.recordBrokenRun(g.q, first.Key(), g.h.engineEnded(first.Address, first.Key()))
	}
	return err
}

// handleRejection excludes the replica at fault from the next path after the first replica declared
// that it did not run the request.
func (g *generation) handleRejection(x *exchange, path layers.Path) error {
	fault := path.First()
	if x.head.FaultAddress != "" {
		fault = g.replicaAt(path, x.head.FaultAddress)
	}
	g.excluded.add(fault.Key())
	g.table.RecordRefusal(fault)
	if g.h.Allocator != nil && g.q.class.Competing() {
		g.h.Allocator.RecordRejection(allocator.Rejection{Service: g.q.service, Replica: fault.Key().String()})
	}
	g.q.progress.replicaLeft(fault.Address, "it turned the request away")
	return &notRunError{Address: path.First().Address, Status: x.resp.StatusCode, Fault: fault.Address}
}

// replicaAt returns the replica at an address on the path, or else the one that is listed at the
// address now: a report may still refer to the previous path.
func (g *generation) replicaAt(path layers.Path, address string) layers.Replica {
	if r, ok := path.ReplicaAt(address); ok {
		return r
	}
	if r, ok := g.table.ReplicaAt(address); ok {
		return r
	}
	return layers.Replica{Address: address}
}

// forwardFailure forwards a response that is the replica's own failure.
func (g *generation) forwardFailure(ctx context.Context, x *exchange, first layers.Replica) error {
	body, err := x.body(g.h.bodies, 0)
	if err != nil {
		return g.handleSendError(ctx, first, &sendError{Address: first.Address, Sent: true, Cause: err})
	}
	defer body.release()
	if err := g.checkUnframedBody(x, first); err != nil {
		return g.handleSendError(ctx, first, &sendError{Address: first.Address, Sent: true, Cause: err})
	}
	g.runSucceeded()
	if err := x.undeclaredRefusal(g.q.profile); err != nil {
		return err
	}
	if g.headSent {
		return &sendError{Address: x.resp.Request.URL.Host, Sent: true, Cause: errors.Newf("status %d", x.resp.StatusCode)}
	}
	g.startResponse(x)
	writeAnswer(g.w, x.resp.StatusCode, body.data)
	return nil
}

// forwardEvents forwards events until the stream ends.
func (g *generation) forwardEvents(x *exchange, first layers.Replica, watch *stallWatch) error {
	events := newEventReader(x.resp.Body, g.h.bodies)
	defer events.close()
	control := http.NewResponseController(g.w)
	// A caller that does not read would keep the stream beyond its deadline.
	_ = control.SetWriteDeadline(g.q.deadline.Add(responseMargin)) // without support for deadlines, the kernel bounds it
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	for {
		e, err := events.next()
		if isStreamEnd(err) {
			if err := g.checkUnframedStream(x, first); err != nil {
				return err
			}
			return g.finishResponse(x)
		}
		if err != nil {
			return err
		}
		if err := g.checkEvent(e); err != nil {
			return err
		}
		if !e.Content { // what followed the last event
			if err := g.checkUnframedStream(x, first); err != nil {
				return err
			}
			return g.finishWith(x, control, e)
		}
		g.recordEvent(watch)
		g.startStream(x)
		if err := g.writeEvent(control, e); err != nil {
			return err
		}
	}
}

// finishWith completes the response with what followed the last event.
func (g *generation) finishWith(x *exchange, control *http.ResponseController, rest event) error {
	g.startStream(x)
	if err := g.writeEvent(control, rest); err != nil {
		return err
	}
	return g.finishResponse(x)
}

// recordEvent records the progress of the stream by an event.
func (g *generation) recordEvent(watch *stallWatch) {
	watch.eventArrived()
	g.checkRunAge(time.Now())
	g.q.progress.recordEvent(g.q.arrival, time.Now())
	if !g.headSent {
		g.recordFirstEvent()
		g.h.Observer.FirstToken(g.q.urgency(), time.Since(g.q.arrival))
	}
}

// checkEvent returns an error for an event that the caller has received already, and for more events than the
// caller's limit of tokens allows: each has one token at least.
func (g *generation) checkEvent(e event) error {
	if e.ID != "" && e.ID == g.lastEvent {
		return errors.Newf("event %q came twice", e.ID)
	}
	if limit := g.q.MaxAnswerTokens; limit > 0 && g.events.Load() >= int64(maxEventsFactor*limit+extraEvents) {
		return errTooManyEvents
	}
	return nil
}

// recordFirstEvent records the time from the send to the first event.
func (g *generation) recordFirstEvent() {
	if g.q.class.Competing() {
		g.h.Overload.firstEvents.record(time.Since(g.sentAt))
	}
}

// finishResponse completes the response after the replica has ended the stream. A stream without
// events is complete too.
func (g *generation) finishResponse(x *exchange) error {
	g.runSucceeded()
	g.startStream(x)
	return nil
}

// startStream sends the head of the response unless it was sent before.
func (g *generation) startStream(x *exchange) {
	if !g.headSent {
		g.startResponse(x)
		g.w.WriteHeader(http.StatusOK)
	}
}

// startResponse copies the headers of the replica's response to the caller's.
func (g *generation) startResponse(x *exchange) {
	g.headSent = true
	header := g.w.Header()
	for name, values := range withoutHopHeaders(x.resp.Header) {
		header[name] = values
	}
	header.Del("Content-Length")
}

// writeEvent sends an event to the caller and records its id.
func (g *generation) writeEvent(control *http.ResponseController, e event) error {
	if _, err := g.w.Write(e.Raw); err != nil {
		return err
	}
	if err := control.Flush(); err != nil {
		return err
	}
	if e.Content {
		g.events.Add(1)
	}
	if e.ID != "" {
		g.mu.Lock()
		g.lastEvent = e.ID
		g.mu.Unlock()
	}
	return nil
}
