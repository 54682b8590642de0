package plan

import (
	"maps"
	"slices"
)

// noRow stands for a link that needs no row.
const noRow = -1

// rows are the numbered rows of a graph, those of the groups first and in their order. Graphs with
// the same groups have the same numbers, whatever members the groups have.
type rows struct {
	list []row
	// centreRow is indexed by group and data centre, targetRow by the two groups of a link that
	// names a target.
	centreRow [][]int
	targetRow map[[2]int]int
}

func (g *graph) newRows() *rows {
	r := &rows{targetRow: map[[2]int]int{}}
	for _, grp := range g.groups {
		r.list = append(r.list, row{capacity: grp.capacity()})
	}
	for index, grp := range g.groups {
		centres := make([]int, len(grp.toCentre))
		for centre, out := range grp.toCentre {
			centres[centre] = r.addLink(grp, out)
		}
		r.centreRow = append(r.centreRow, centres)
		for _, to := range slices.Sorted(maps.Keys(grp.toGroup)) {
			r.targetRow[[2]int{index, to}] = r.addLink(grp, grp.toGroup[to])
		}
	}
	return r
}

// addLink adds a row for a link and returns its number. A link needs no row if an engine cannot
// reach its capacity even with stages of a single layer.
func (r *rows) addLink(grp *group, out edge) int {
	if out.capacity >= grp.rate {
		return noRow
	}
	r.list = append(r.list, row{capacity: out.capacity * float64(len(grp.members))})
	return len(r.list) - 1
}

// hopRow returns the row of the link between two groups, or noRow.
func (r *rows) hopRow(g *graph, from, to int) int {
	if _, ok := g.groups[from].toGroup[to]; ok {
		return r.targetRow[[2]int{from, to}]
	}
	return r.centreRow[from][g.groups[to].centre]
}

// capacity returns the group's rate in layers times tokens per second.
func (grp *group) capacity() float64 { return grp.rate * float64(len(grp.members)) }

// coefficients returns what a path uses of each row; each row appears once.
func (g *graph) coefficients(r *rows, p path) []coefficient {
	found := make([]coefficient, 0, 2*len(p))
	add := func(row int, amount float64) {
		for i := range found {
			if found[i].row == row {
				found[i].amount += amount
				return
			}
		}
		found = append(found, coefficient{row: row, amount: amount})
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
