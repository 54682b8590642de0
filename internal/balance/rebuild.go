package balance

import (
	"time"

	"geraniumcroft/internal/config"
)

// rebuild makes a new view from the snapshot. b.mu is held.
func (b *Balancer) rebuild() {
	next := &view{pools: map[string]*pool{}, targets: map[string]*target{}}
	for key, members := range groupConfigs(b.snapshot) {
		b.rebuildGroup(next, key, members)
	}
	b.view.Store(next)
	b.removeOthers(next)
}

func (b *Balancer) rebuildGroup(next *view, key groupKey, members []*config.Target) {
	chosen := inSubset(members, b.peers(), b.index, b.settings)
	rooms := headrooms(members, b.settings)
	g := &group{}
	p := next.pools[key.pool]
	if p == nil {
		p = &pool{name: key.pool}
		next.pools[key.pool] = p
	}
	for _, c := range members {
		t := b.state(c)
		next.targets[c.Name] = t
		if chosen[c.Name] {
			g.targets = append(g.targets, t)
			p.members = append(p.members, t)
		}
	}
	for i, c := range members {
		b.configure(b.states[c.Name], c, g, rooms[i], !chosen[c.Name])
	}
}

func (b *Balancer) state(c *config.Target) *target {
	t := b.states[c.Name]
	if t == nil {
		t = &target{balancer: b, name: c.Name}
		t.config.Store(c)
		b.states[c.Name] = t
	}
	return t
}

func (b *Balancer) configure(t *target, c *config.Target, g *group, room [config.UrgencyCount]int, outside bool) {
	t.changeQuietly(func(time.Time) {
		t.config.Store(c)
		t.group = g
		t.headroom = room
		t.removed = false
		t.leaving = b.leaving[c.Name]
		t.outside = outside
		if t.health.out {
			g.mu.Lock()
			g.ejected++
			g.mu.Unlock()
		}
	})
}

// removeOthers closes the targets that the view does not have and forgets those
// of them that have nothing in hand.
func (b *Balancer) removeOthers(next *view) {
	for name, t := range b.states {
		if next.targets[name] != nil {
			continue
		}
		t.changeQuietly(func(time.Time) { t.removed = true })
		if t.inFlight.Load() == 0 {
			t.stop()
			delete(b.states, name)
		}
	}
}

func (t *target) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
	}
}
