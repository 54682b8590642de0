package balance

import (
	"maps"
	"time"

	"geraniumcroft/internal/config"
)

// rebuild makes a new view of the snapshot. b.mu is held.
func (b *Balancer) rebuild() {
	next := &view{pools: map[string]*pool{}, targets: map[string]*target{}}
	groups := groupConfigs(b.snapshot)
	for key, members := range groups {
		b.rebuildGroup(next, key, members)
	}
	b.view.Store(next)
	b.closeRemoved(next)
	maps.DeleteFunc(b.groups, func(key groupKey, _ *group) bool { return groups[key] == nil })
	maps.DeleteFunc(b.prefixes, func(name string, _ *prefixIndex) bool { return next.pools[name] == nil })
}

// rebuildGroup adds the targets of one group to a new view. b.mu is held.
func (b *Balancer) rebuildGroup(next *view, key groupKey, members []*config.Target) {
	p := b.ensurePool(next, key.pool)
	g := b.group(key)
	var used []*target
	for i, part := range b.allot(members) {
		c := members[i]
		t := b.ensureTarget(c)
		next.targets[c.Name] = t
		t.group.Store(g)
		t.prefixes.Store(p.prefixes)
		b.configure(t, c, part)
		if !part.outsideSubset {
			used = append(used, t)
		}
	}
	p.members = append(p.members, used...)
	g.setTargets(used)
}

// allot computes this VM's part of each target of a group.
func (b *Balancer) allot(members []*config.Target) []allotment {
	parts := subsetParts(members, b.peers(), b.settings)
	chosen := inSubset(members, b.peers(), b.vmIndex(), b.settings)
	reserved := headrooms(members, b.settings)
	allotted := make([]allotment, len(members))
	for i, c := range members {
		allotted[i] = allotment{
			sharersKnown:  b.peersKnown(),
			headroom:      reserved[i],
			sharers:       (b.peers() + parts - 1) / parts,
			sharerIndex:   b.vmIndex() / parts,
			targetIndex:   i,
			outsideSubset: !chosen[c.Name],
		}
	}
	return allotted
}

// ensurePool returns the pool of that name in a new view and creates it if needed.
func (b *Balancer) ensurePool(v *view, name string) *pool {
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

// group returns the group with a key and creates it if needed.
func (b *Balancer) group(key groupKey) *group {
	if b.groups[key] == nil {
		b.groups[key] = &group{}
	}
	return b.groups[key]
}

// ensureTarget returns the target's state and creates it if needed. A new state includes the
// counts of the peers, because a peer may know the target, and send to it, before this VM
// does.
func (b *Balancer) ensureTarget(c *config.Target) *target {
	t := b.targetStates[c.Name]
	if t == nil {
		t = &target{balancer: b, name: c.Name, allotted: allotment{sharers: 1}}
		t.config.Store(c)
		for _, inFlight := range b.peerLoad {
			t.load.peers += inFlight[c.Name]
		}
		b.targetStates[c.Name] = t
	}
	return t
}

// configure applies the configuration of a target and this VM's part of it.
func (b *Balancer) configure(t *target, c *config.Target, allotted allotment) {
	t.apply(func(time.Time) {
		t.config.Store(c)
		t.allotted = allotted
		t.removed = false
		t.leaving = b.leaving[c.Name]
	})
}

// closeRemoved closes the targets that are missing in the view and deletes those without
// requests in flight.
func (b *Balancer) closeRemoved(next *view) {
	for name, t := range b.targetStates {
		if next.targets[name] != nil {
			continue
		}
		t.apply(func(time.Time) { t.removed = true })
		if t.inFlight.Load() == 0 {
			t.stopTimer()
			delete(b.targetStates, name)
		}
	}
}

// stopTimer stops the timer of a target that is deleted.
func (t *target) stopTimer() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
	}
}
