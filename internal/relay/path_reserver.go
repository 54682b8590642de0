package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/admission"
	"geraniumcroft/internal/allocator"
	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/overload"
)

// PathReserver chooses paths for the competing requests of all VMs of a data centre: one queue, ordered
// by priority and fair among workspaces, before one table with all their reservations. It implements
// allocator.Reserver and is safe for concurrent use.
type PathReserver struct {
	queue  *admission.Controller
	pools  *Pools
	floors *overload.ServiceFloors
	pause  *searchPause
	// dataCentre is where the requests arrive.
	dataCentre string
}

var _ allocator.Reserver = (*PathReserver)(nil)

// NewPathReserver returns a PathReserver of a data centre. The pools must not be used by others. A
// profile is starved if it is served less than minServed times as often as the one that is served most
// often.
func NewPathReserver(dataCentre string, queue *admission.Controller, pools *Pools, minServed float64) *PathReserver {
	return &PathReserver{queue: queue, pools: pools, floors: overload.NewServiceFloors(minServed, floorWindow), pause: newSearchPause(), dataCentre: dataCentre}
}

// Reserve implements allocator.Reserver.
func (p *PathReserver) Reserve(ctx context.Context, r allocator.Request) (*layers.Reservation, error) {
	table := p.pools.of(r.Service)
	if !r.Valid() {
		return nil, &allocator.RefusedError{Reason: string(outcome.ReasonInternal), Detail: "the request for a path is not valid"}
	}
	if table == nil {
		return nil, &allocator.RefusedError{Reason: string(outcome.ReasonNoTarget), Detail: "the service is not known"}
	}
	arrival := time.Now()
	floors := p.floors.Of(r.Service)
	if !r.Resume {
		floors.Arrived(r.Profile, arrival)
	}
	var reservation *layers.Reservation
	var pathErr error
	query := queryOf(r, p.dataCentre)
	err := p.queue.Admit(ctx, &admission.Request{
		ID: r.RequestID, Workspace: r.Workspace, Profile: r.Profile, Pool: r.Service, Urgency: r.Urgency,
		Cost: r.Prompt + r.Answer, Arrival: arrival, MaxQueueWait: r.MaxWait, Resume: r.Resume, WorkConserving: true,
	}, func() bool {
		now := time.Now()
		if !r.Resume {
			if r.Objective > 0 {
				query.FirstEventWithin = max(time.Millisecond, r.Objective-now.Sub(arrival))
			}
			query.Class.Late = query.Class.Late || now.Sub(arrival) > r.StartWithin
			query.Class.Starved = floors.Starved(r.Profile, now)
		}
		key := searchKey{service: r.Service, class: query.Class}
		if pathErr = layers.ErrNoCapacity; !r.Resume && !p.pause.due(key, now) {
			return false
		}
		if reservation, pathErr = table.Reserve(query); errors.Is(pathErr, layers.ErrNoCapacity) && !r.Resume {
			p.pause.recordFailure(key, now)
		}
		return pathErr == nil || errors.Is(pathErr, layers.ErrNoPath) || errors.Is(pathErr, layers.ErrNoSpareEntry)
	})
	switch {
	case err != nil:
		refused := refusedOf(err)
		refused.Detail = fmt.Sprintf("%s: %v: %s", refused.Detail, pathErr, table.Bottleneck(query))
		return nil, refused
	case pathErr != nil:
		return nil, &allocator.RefusedError{Reason: string(outcome.ReasonNoTarget), Detail: pathErr.Error()}
	}
	if !r.Resume {
		floors.Served(r.Profile, time.Now())
	}
	reservation.OnRelease(func(bool) {
		p.queue.Finished(r.Service, time.Since(arrival))
		p.pause.end()
		p.queue.Wake(r.Service)
	})
	return reservation, nil
}

// Adopt implements allocator.Reserver.
func (p *PathReserver) Adopt(h allocator.Hold) (*layers.Reservation, error) {
	table := p.pools.of(h.Service)
	if table == nil {
		return nil, layers.ErrNoPath
	}
	reservation, err := table.AdoptRunning(layers.Query{Prompt: h.Prompt, Answer: h.Answer}, allocator.PathOf(h.Path))
	if err != nil {
		return nil, err
	}
	reservation.OnRelease(func(bool) {
		p.pause.end()
		p.queue.Wake(h.Service)
	})
	return reservation, nil
}

// CapacityChanged tries the waiting requests again, after the replicas or their loads have changed.
func (p *PathReserver) CapacityChanged() {
	p.pause.end()
	p.queue.WakeAll()
}

// RecordRejection implements allocator.Reserver.
func (p *PathReserver) RecordRejection(r allocator.Rejection) {
	if table := p.pools.of(r.Service); table != nil {
		key := incarnation.Parse(r.Replica)
		table.RecordRefusal(layers.Replica{ID: key.ID, Born: key.Born})
	}
}

// queryOf returns the query of a request that arrived in a data centre.
func queryOf(r allocator.Request, dataCentre string) layers.Query {
	query := layers.Query{
		Prompt: r.Prompt, Answer: r.Answer, DataCentre: dataCentre, SpareEntries: r.SpareEntries, Class: r.Class, Gap: r.Gap,
		Exclude: make(map[incarnation.Key]bool, len(r.Exclude)),
	}
	for _, key := range r.Exclude {
		query.Exclude[incarnation.Parse(key)] = true
	}
	return query
}

// refusedOf returns the refusal of a request that was not admitted.
func refusedOf(err error) *allocator.RefusedError {
	var failure *outcome.Failure
	if errors.As(err, &failure) {
		return &allocator.RefusedError{Reason: string(failure.Reason), Detail: failure.Detail}
	}
	return &allocator.RefusedError{Reason: string(outcome.ReasonInternal), Detail: err.Error()}
}
