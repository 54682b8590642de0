package relay

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/pushback"
)

// send sends the generation along the reserved path and passes its events on.
func (g *generation) send(ctx context.Context, reservation *layers.Reservation) (err error) {
	started := time.Now()
	g.answered, g.began = time.Time{}, time.Time{}
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
	g.q.story.add("path chosen", zap.String("path", g.q.progress.path), zap.Duration("left", g.q.left()), zap.String("lastEvent", g.lastEvent))
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := newStallWatch(ctx, g, reservation, cancel)
	defer watch.stop()
	x, err := g.h.open(ctx, g.q, target{address: first.Address, incarnation: first.Key(), dataCentre: first.DataCentre, path: path}, g.lastEvent)
	if err != nil {
		return g.blame(ctx, first, err)
	}
	defer x.close()
	if x.answer.NotRun {
		return g.turnedAway(x, path)
	}
	g.answered = time.Now()
	g.mu.Lock()
	g.runs++
	g.q.runs = g.runs
	g.mu.Unlock()
	if x.resp.StatusCode != http.StatusOK {
		return g.passFailure(x)
	}
	if err := g.pump(x, watch); err != nil {
		return g.blame(ctx, first, err)
	}
	return nil
}

// blame avoids the first replica after it failed, unless the caller left or the time
// is over, and returns what ended the send.
func (g *generation) blame(ctx context.Context, first layers.Replica, err error) error {
	cause := context.Cause(ctx)
	var stalled *stallError
	var held *pushback.ThrottledError
	switch {
	case errors.As(err, &held):
		return err // another path, or this one later; nothing is wrong with the replica
	case errors.As(cause, &stalled):
		g.avoid[stalled.Replica.Key()] = true
		g.q.progress.left(stalled.Replica.Address, stalled.Why)
		return cause
	case ctx.Err() != nil:
		return err
	}
	g.avoid[first.Key()] = true
	g.table.Suspect(first)
	g.q.progress.left(first.Address, "its connection broke")
	if mayHaveArrived(err) && g.young() {
		g.h.crashes.broke(g.q, first.Key(), g.h.engineEnded(first.Address, first.Key()))
	}
	return err
}

// turnedAway learns from a replica that did not run the request which one was at fault.
func (g *generation) turnedAway(x *exchange, path layers.Path) error {
	fault := path.First()
	if x.answer.FaultAddress != "" {
		fault = g.replicaAt(path, x.answer.FaultAddress)
	}
	g.avoid[fault.Key()] = true
	g.table.RecordRefusal(fault)
	g.q.progress.left(fault.Address, "it turned the request away")
	return &notRunError{Address: path.First().Address, Status: x.resp.StatusCode, Fault: fault.Address}
}

// replicaAt returns the replica that a path has at an address, or else the one that is listed
// there now: a report may still be of the path before.
func (g *generation) replicaAt(path layers.Path, address string) layers.Replica {
	if r, ok := path.ReplicaAt(address); ok {
		return r
	}
	if r, ok := g.table.ReplicaAt(address); ok {
		return r
	}
	return layers.Replica{Address: address}
}

// passFailure passes on an answer that is the replica's own failure.
func (g *generation) passFailure(x *exchange) error {
	body, err := x.body()
	if err != nil {
		return err
	}
	g.ranWell()
	if g.begun {
		return &sendError{Address: x.resp.Request.URL.Host, Sent: true, Cause: errors.Newf("status %d", x.resp.StatusCode)}
	}
	g.begin(x)
	g.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	g.w.WriteHeader(x.resp.StatusCode)
	_, _ = g.w.Write(body) // a caller that left does not read it
	return nil
}

// pump passes events on until the stream ends.
func (g *generation) pump(x *exchange, watch *stallWatch) error {
	events := newEventReader(x.resp.Body)
	control := http.NewResponseController(g.w)
	for {
		e, err := events.next()
		if isEnd(err) {
			return g.end(x)
		}
		if err != nil {
			return err
		}
		watch.moved()
		g.progressed(time.Now())
		g.q.progress.event(g.q.arrival, time.Now())
		if !g.begun {
			g.begin(x)
			g.w.WriteHeader(http.StatusOK)
			g.h.Observer.FirstToken(g.q.urgency(), time.Since(g.q.arrival))
		}
		if err := g.deliver(control, e); err != nil {
			return err
		}
	}
}

// end ends a stream that its replica ended. One without any event is whole too.
func (g *generation) end(x *exchange) error {
	g.ranWell()
	if !g.begun {
		g.begin(x)
		g.w.WriteHeader(http.StatusOK)
	}
	return nil
}

func (g *generation) begin(x *exchange) {
	g.begun = true
	header := g.w.Header()
	for name, values := range withoutHops(x.resp.Header) {
		header[name] = values
	}
	header.Del("Content-Length")
}

func (g *generation) deliver(control *http.ResponseController, e event) error {
	if _, err := g.w.Write(e.Raw); err != nil {
		return err
	}
	if err := control.Flush(); err != nil {
		return err
	}
	g.events.Add(1)
	if e.ID != "" {
		g.mu.Lock()
		g.lastEvent = e.ID
		g.mu.Unlock()
	}
	return nil
}
