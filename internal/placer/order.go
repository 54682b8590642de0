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
	// orderTimeout bounds one order with the question before it.
	orderTimeout = 600 * time.Millisecond
	// reportSlack is how long after a load has ended discovery may still show the old
	// range: two heartbeats of a replica and the way through the store.
	reportSlack = 3 * time.Second
	// loadSlack multiplies the time that a load takes alone, as loads share their source.
	loadSlack = 4
	// orderRetry is the pause before a replica is ordered again that did not answer.
	orderRetry = 700 * time.Millisecond
)

// order is what a replica was last told.
type order struct {
	held config.LayerRange
	// until is when the replica should have reported the range.
	until time.Time
	// again is when the replica may be ordered once more.
	again time.Time
	// sequence is how many orders the replica had begun before this one.
	sequence uint64
}

// forgetOvertaken forgets orders that another one has followed. An order that was meant for a
// replica's earlier incarnation may be carried out seconds later by the next one, whose orders
// count anew: the layers that were ordered since would be waited for in vain.
func (p *Placer) forgetOvertaken() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for replica, o := range p.ordered {
		load, ok := p.LastReport(replica)
		if !ok || load.Sequence <= o.sequence+1 {
			continue
		}
		p.Logger.Warn("another order was carried out after ours", zap.Stringer("replica", replica), zap.Stringer("ours", o.held),
			zap.Stringer("held", load.Held), zap.Uint64("sequence", load.Sequence))
		delete(p.ordered, replica)
	}
}

// due reports whether the replica is to be ordered now.
func (p *Placer) due(replica incarnation.Key, held config.LayerRange) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.ordered[replica]
	now := time.Now()
	if !ok {
		return true
	}
	if o.held == held && now.Before(o.until) && o.again.IsZero() {
		return false
	}
	return o.again.IsZero() || now.After(o.again)
}

func (p *Placer) order(ctx context.Context, spec *layers.Spec, r layers.Replica, held config.LayerRange) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	state, err := p.Engines.State(ctx, r.Address)
	if err == nil && p.isAnother(r, state) {
		return
	}
	if err == nil && state.Held == held {
		p.remember(spec, r, held, state.Sequence, false)
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
	p.remember(spec, r, held, state.Sequence, err != nil)
}

// isAnother reports whether another incarnation answered than the one that is to be ordered.
// Its orders count anew, so that one with the sequence of the other could be carried out, or
// would be taken for carried out. The next look has the one that lives.
func (p *Placer) isAnother(r layers.Replica, state State) bool {
	if r.Born <= 0 || state.Born <= 0 || r.Born == state.Born {
		return false
	}
	answered := incarnation.Key{ID: r.ID, Born: state.Born}
	p.Logger.Info("order left out, another incarnation answered", zap.Stringer("replica", r.Key()), zap.Stringer("answered", answered))
	p.ObserveIncarnation(answered)
	return true
}

func (p *Placer) remember(spec *layers.Spec, r layers.Replica, held config.LayerRange, sequence uint64, failed bool) {
	share := float64(held.Len()) / float64(max(1, spec.Layers))
	load := time.Duration(loadSlack * share * float64(spec.LoadTime))
	o := order{held: held, until: time.Now().Add(load + reportSlack), sequence: sequence}
	if failed {
		o.again = time.Now().Add(orderRetry)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ordered[r.Key()] = o
}
