package plan

import (
	"maps"
	"slices"
)

const noRow = -1

// rows numbers the graph's limits: the groups' come first, in order. Graphs with
// the same groups number them alike, whatever members the groups have.
type rows struct {
	list []row
	// centreRow is indexed by group and centre, namedRow by the groups of a link that
	// names a target.
	centreRow [][]int
	namedRow  map[[2]int]int
}

func (g *graph) newRows() *rows {
	r := &rows{namedRow: map[[2]int]int{}}
	for _, grp := range g.groups {
		r.list = append(r.list, row{capacity: grp.capacity()})
	}
	for index, grp := range g.groups {
		centres := make([]int, len(grp.toCentre))
		for centre, way := range grp.toCentre {
			centres[centre] = r.addLink(grp, way)
		}
		r.centreRow = append(r.centreRow, centres)
		for _, to := range slices.Sorted(maps.Keys(grp.toGroup)) {
			r.namedRow[[2]int{index, to}] = r.addLink(grp, grp.toGroup[to])
		}
	}
	return r
}

// addLink numbers a link's limit. One that an engine cannot reach with a stage of
// a single layer needs none.
func (r *rows) addLink(grp *group, way edge) int {
	if way.capacity >= grp.rate {
		return noRow
	}
	r.list = append(r.list, row{capacity: way.capacity * float64(len(grp.members))})
	return len(r.list) - 1
}

// hopRow returns the limit of the way between two groups, or noRow.
func (r *rows) hopRow(g *graph, from, to int) int {
	if _, ok := g.groups[from].toGroup[to]; ok {
		return r.namedRow[[2]int{from, to}]
	}
	return r.centreRow[from][g.groups[to].centre]
}

// capacity is the group's rate in layers times tokens a second.
func (grp *group) capacity() float64 { return grp.rate * float64(len(grp.members)) }

// shares returns what a path takes of each row; a row appears once.
func (g *graph) shares(r *rows, p path) []share {
	found := make([]share, 0, 2*len(p))
	add := func(row int, amount float64) {
		for i := range found {
			if found[i].row == row {
				found[i].amount += amount
				return
			}
		}
		found = append(found, share{row: row, amount: amount})
	}
	for i, l := range p {
		add(l.group, float64(l.to-l.from))
		if i == 0 {
			continue
		}
		if row := r.hopRow(g, p[i-1].group, l.group); row != noRow {
			add(row, 1)
		}
	}
	return found
}
