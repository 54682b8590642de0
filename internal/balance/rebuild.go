package balance

import (
	"maps"
	"time"

	"geraniumcroft/internal/config"
)

// rebuild makes a new view from the snapshot. b.mu is held.
func (b *Balancer) rebuild() {
	next := &view{pools: map[string]*pool{}, targets: map[string]*target{}}
	groups := groupConfigs(b.snapshot)
	for key, members := range groups {
		b.rebuildGroup(next, key, members)
	}
	b.view.Store(next)
	b.closeOthers(next)
	maps.DeleteFunc(b.groups, func(key groupKey, _ *group) bool { return groups[key] == nil })
	maps.DeleteFunc(b.prefixes, func(name string, _ *prefixIndex) bool { return next.pools[name] == nil })
}

func (b *Balancer) rebuildGroup(next *view, key groupKey, members []*config.Target) {
	p := b.poolIn(next, key.pool)
	g := b.group(key)
	var used []*target
	for i, part := range b.allot(members) {
		c := members[i]
		t := b.state(c)
		next.targets[c.Name] = t
		t.group.Store(g)
		t.prefixes.Store(p.prefixes)
		b.configure(t, c, part)
		if !part.outside {
			used = append(used, t)
		}
	}
	p.members = append(p.members, used...)
	g.setTargets(used)
}

// allot works out this VM's part of each target of a group.
func (b *Balancer) allot(members []*config.Target) []allotment {
	parts := subsetParts(members, b.peers(), b.settings)
	chosen := inSubset(members, b.peers(), b.vmIndex(), b.settings)
	rooms := headrooms(members, b.settings)
	allotted := make([]allotment, len(members))
	for i, c := range members {
		allotted[i] = allotment{
			shared:   b.knowsPeers(),
			headroom: rooms[i],
			sharers:  (b.peers() + parts - 1) / parts,
			turn:     b.vmIndex() / parts,
			place:    i,
			outside:  !chosen[c.Name],
		}
	}
	return allotted
}

func (b *Balancer) poolIn(v *view, name string) *pool {
	if p := v.pools[name]; p != nil {
		return p
	}
	if b.prefixes[name] == nil {
		b.prefixes[name] = newPrefixIndex(b.settings.PrefixesPerPool)
	}
	p := &pool{name: name, prefixes: b.prefixes[name]}
	v.pools[name] = p
	return p
}

func (b *Balancer) group(key groupKey) *group {
	if b.groups[key] == nil {
		b.groups[key] = &group{}
	}
	return b.groups[key]
}

// state returns the target's state. A new one starts with what peers have said,
// as a peer may know the target, and send to it, before this VM does.
func (b *Balancer) state(c *config.Target) *target {
	t := b.states[c.Name]
	if t == nil {
		t = &target{balancer: b, name: c.Name, part: allotment{sharers: 1}}
		t.config.Store(c)
		for _, inFlight := range b.peerLoad {
			t.load.peers += inFlight[c.Name]
		}
		b.states[c.Name] = t
	}
	return t
}

func (b *Balancer) configure(t *target, c *config.Target, part allotment) {
	t.changeQuietly(func(time.Time) {
		t.config.Store(c)
		t.part = part
		t.removed = false
		t.leaving = b.leaving[c.Name]
	})
}

// closeOthers closes the targets that the view does not have and forgets those
// of them that have nothing in hand.
func (b *Balancer) closeOthers(next *view) {
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
