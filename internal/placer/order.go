package placer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/layers"
)

const (
	// orderTimeout bounds one order together with the query of the replica's state before it.
	orderTimeout = 600 * time.Millisecond
	// reportSlack is how long discovery may still list the old range after a load has ended: two
	// heartbeats of a replica and the delay of the store.
	reportSlack = 3 * time.Second
	// loadSlack multiplies the time of a load that runs alone, because concurrent loads share
	// their source.
	loadSlack = 4
	// orderRetry is the pause after an order that failed before the replica is ordered again.
	orderRetry = 700 * time.Millisecond
)

// order is the last order to a replica.
type order struct {
	held config.LayerRange
	// reportBy is when the replica should have reported the range.
	reportBy time.Time
	// retryAt is when the replica may be ordered again after a failure, zero if there was none.
	retryAt time.Time
	// sequence is the number of orders that the replica had begun before this one.
	sequence uint64
}

// dropSupersededOrders deletes orders after which the replica has begun another one. An order to
// a replica's earlier incarnation may be carried out seconds later by the next incarnation, which
// counts its orders from 0 again. Without this the placer would continue to wait for layers that it
// has ordered since and that the replica no longer loads.
func (p *Placer) dropSupersededOrders() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for replica, o := range p.orders {
		load, ok := p.LastReport(replica)
		if !ok || load.Sequence <= o.sequence+1 {
			continue
		}
		p.Logger.Warn("another order was carried out after ours", zap.Stringer("replica", replica), zap.Stringer("ours", o.held),
			zap.Stringer("held", load.Held), zap.Uint64("sequence", load.Sequence))
		delete(p.orders, replica)
	}
}

// isDue reports whether the replica is to be ordered now.
func (p *Placer) isDue(replica incarnation.Key, held config.LayerRange) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.orders[replica]
	now := time.Now()
	if !ok {
		return true
	}
	if o.held == held && now.Before(o.reportBy) && o.retryAt.IsZero() {
		return false
	}
	return o.retryAt.IsZero() || now.After(o.retryAt)
}

// sendOrder reads the replica's state and orders it to hold the range, unless it does already,
// another incarnation answered or this VM no longer holds the lease.
func (p *Placer) sendOrder(ctx context.Context, spec *layers.Spec, r layers.Replica, held config.LayerRange) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	state, err := p.Engines.State(ctx, r.Address)
	if err == nil && p.incarnationChanged(r, state) {
		return
	}
	if err == nil && state.Held == held {
		p.recordOrder(spec, r, held, state.Sequence, false)
		return
	}
	if err == nil && !p.Holder.Holds() {
		return
	}
	if err == nil {
		err = p.Engines.Place(ctx, r, held, state.Sequence)
	}
	p.Logger.Info("replica ordered", zap.Stringer("replica", r.Key()), zap.String("address", r.Address), zap.String("kind", r.Kind),
		zap.String("dataCentre", r.DataCentre), zap.Stringer("held", r.Held), zap.Stringer("wanted", held),
		zap.Uint64("sequence", state.Sequence), zap.Error(err))
	p.recordOrder(spec, r, held, state.Sequence, err != nil)
}

// incarnationChanged reports whether another incarnation answered than the one to be ordered. Each
// counts its orders from 0, so an order with the sequence of one could be carried out by the
// other, or be taken for carried out. In the next round the list has the one that answered.
func (p *Placer) incarnationChanged(r layers.Replica, state State) bool {
	if r.Born <= 0 || state.Born <= 0 || r.Born == state.Born {
		return false
	}
	answered := incarnation.Key{ID: r.ID, Born: state.Born}
	p.Logger.Info("order left out, another incarnation answered", zap.Stringer("replica", r.Key()), zap.Stringer("answered", answered))
	p.ObserveIncarnation(answered)
	return true
}

// recordOrder keeps the order with the time by which the replica should report the range.
func (p *Placer) recordOrder(spec *layers.Spec, r layers.Replica, held config.LayerRange, sequence uint64, failed bool) {
	share := float64(held.Len()) / float64(max(1, spec.Layers))
	load := time.Duration(loadSlack * share * float64(spec.LoadTime))
	o := order{held: held, reportBy: time.Now().Add(load + reportSlack), sequence: sequence}
	if failed {
		o.retryAt = time.Now().Add(orderRetry)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders[r.Key()] = o
}
