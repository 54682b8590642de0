package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"geraniumcroft/internal/allocator"
	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/outcome"
)

// PathAllocator chooses paths for all VMs of a data centre. The error of Reserve is
// allocator.ErrUnavailable or an *allocator.RefusedError.
type PathAllocator interface {
	Reserve(ctx context.Context, r allocator.Request) (allocator.Grant, error)
	RecordRejection(r allocator.Rejection)
}

// allocate asks the allocator for a path. Handled is false if this VM has to choose one by itself: where
// requests do not compete, and where no allocator answers or its path cannot be used.
func (g *generation) allocate(ctx context.Context) (reservation *layers.Reservation, failure *outcome.Failure, handled bool) {
	q := g.q
	if g.h.Allocator == nil || !q.class.Competing() {
		return nil, nil, false
	}
	if refusal := g.h.crashes.refusal(q); refusal != nil {
		return nil, refusal, true
	}
	began := time.Now()
	query := g.query()
	query.Class = g.class()
	grant, err := g.h.Allocator.Reserve(ctx, g.allocationRequest(query))
	waited := time.Since(began)
	q.decisionLog.add("path allocation", zap.Duration("waited", waited), zap.Error(err))
	var refused *allocator.RefusedError
	switch {
	case errors.As(err, &refused) && refused.Reason == string(outcome.ReasonDeadline) && ctx.Err() == nil:
		g.recordWait(waited)
		g.h.Observer.PathAllocated("refused")
		return nil, outcome.Refuse(outcome.ReasonDeadline, "no path had capacity in time").
			WithRetryAfter(g.h.shortages.retryAfter(q.capacityShortage(), defaultRetryAfter)).WithCause(err), true
	case err == nil:
		reservation = g.adopt(query, grant)
	}
	if reservation == nil {
		g.h.Observer.PathAllocated("chosen here")
		return nil, nil, false
	}
	if refusal := g.h.crashes.refusal(q); refusal != nil { // a crash may have been recorded during the wait
		reservation.Release(false)
		return nil, refusal, true
	}
	g.h.Observer.PathAllocated("allocated")
	g.recordWait(waited)
	g.h.recordStart(q)
	return reservation, nil, true
}

// adopt reserves the path of a grant in this VM's own table, so that it knows what it uses when it has to
// choose by itself. It returns nil, and releases the grant, if the path cannot be used.
func (g *generation) adopt(query layers.Query, grant allocator.Grant) *layers.Reservation {
	reservation, err := g.table.Adopt(query, grant.Path)
	if err == nil && !g.table.TakeEntry(reservation.Path().First()) {
		reservation.Release(false)
		err = layers.ErrNoCapacity
	}
	if err != nil {
		g.q.decisionLog.add("allocated path not used", zap.Error(err))
		grant.Release(false)
		return nil
	}
	reservation.OnRelease(grant.Release)
	return reservation
}

func (g *generation) allocationRequest(query layers.Query) allocator.Request {
	q := g.q
	r := allocator.Request{
		RequestID: q.RequestID, Service: q.service, Profile: q.profile.Name, Workspace: q.workspace, Urgency: q.urgency(), Class: g.class(),
		Prompt: query.Prompt, Answer: query.Answer, SpareEntries: g.h.crashes.lookup(q).SpareReplicas, Gap: q.profile.Gap,
		Objective: q.timeToObjective(), StartWithin: time.Until(q.arrival.Add(g.h.latestStart(q))), MaxWait: g.h.competingQueueWait(q),
		Resume: g.headSent,
	}
	if g.headSent {
		r.MaxWait = q.remaining()
	}
	r.MaxWait = max(0, r.MaxWait)
	for _, key := range g.table.Avoided(query.Exclude) {
		r.Exclude = append(r.Exclude, key.String())
	}
	return r
}

// recordWait records the time spent waiting for a path.
func (g *generation) recordWait(waited time.Duration) {
	g.h.Observer.Queued(g.q.urgency(), waited)
	g.q.progress.addWait(waited)
}
