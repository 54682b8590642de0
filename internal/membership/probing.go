package membership

import (
	"slices"
)

// roundRobin iterates over all members in a random order that is shuffled again each round, so
// that each member comes up within two rounds.
type roundRobin struct {
	order []string
}

func (r *roundRobin) next(t *Table, match func(*Member) bool) *Member {
	for range 2 {
		for len(r.order) > 0 {
			m := t.members[r.order[0]]
			r.order = r.order[1:]
			if m != nil && match(m) {
				return m
			}
		}
		r.refill(t)
	}
	return nil
}

func (r *roundRobin) refill(t *Table) {
	r.order = make([]string, 0, len(t.members))
	for name := range t.members {
		r.order = append(r.order, name)
	}
	slices.Sort(r.order)
	t.rng.Shuffle(len(r.order), func(i, j int) { r.order[i], r.order[j] = r.order[j], r.order[i] })
}

// NextProbe returns the member to probe next. Every RetryDeadEvery-th probe goes to a dead member,
// if there is one: otherwise the two halves of a healed partition, which hold each other dead,
// would never communicate again.
func (t *Table) NextProbe() (Member, bool) {
	t.probeCount++
	if t.probeCount%t.settings.RetryDeadEvery == 0 {
		if m, ok := t.randomDead(); ok {
			return m, true
		}
	}
	m := t.probes.next(t, func(m *Member) bool { return m.MayServe() && m.Address != "" })
	if m == nil {
		return t.randomDead()
	}
	return *m, true
}

func (t *Table) randomDead() (Member, bool) {
	var dead []string
	for name, m := range t.members {
		if m.State == Dead && m.Address != "" {
			dead = append(dead, name)
		}
	}
	if len(dead) == 0 {
		return Member{}, false
	}
	slices.Sort(dead)
	return *t.members[dead[t.rng.IntN(len(dead))]], true
}

// Helpers returns up to count random alive members other than target, through which to probe it
// indirectly.
func (t *Table) Helpers(target string, count int) []Member {
	return t.Sample(count, func(m *Member) bool { return m.State == Alive && m.Name != target })
}

// Sample returns up to count random members that may serve and that match accepts.
func (t *Table) Sample(count int, match func(*Member) bool) []Member {
	all := t.ServingMembers()
	all = slices.DeleteFunc(all, func(m Member) bool { return !match(&m) })
	t.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(count, len(all))]
}
