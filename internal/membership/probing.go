package membership

import (
	"slices"
)

// roundRobin walks all members in a shuffled order, shuffled anew each round, so
// that each member's turn comes within two rounds.
type roundRobin struct {
	order []string
}

func (r *roundRobin) next(t *Table, wanted func(*Member) bool) *Member {
	for range 2 {
		for len(r.order) > 0 {
			m := t.members[r.order[0]]
			r.order = r.order[1:]
			if m != nil && wanted(m) {
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

// NextProbe returns the member whose turn it is. Each n-th turn goes to a dead
// one, when there is any: without that, two halves of a healed partition that
// hold each other dead would never speak again.
func (t *Table) NextProbe() (Member, bool) {
	t.probed++
	if t.probed%t.settings.RetryDeadEvery == 0 {
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

// Helpers returns up to count random alive members besides one, to probe it
// indirectly.
func (t *Table) Helpers(except string, count int) []Member {
	return t.Sample(count, func(m *Member) bool { return m.State == Alive && m.Name != except })
}

// Sample returns up to count random members that may serve and are wanted.
func (t *Table) Sample(count int, wanted func(*Member) bool) []Member {
	all := t.ServingMembers()
	all = slices.DeleteFunc(all, func(m Member) bool { return !wanted(&m) })
	t.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(count, len(all))]
}
