package layers

import "geraniumcroft/internal/config"

// fillStep is the ratio between two rooms that are tried.
const fillStep = 1.1

// filler lays a range of layers out over cards that hold nothing.
type filler struct {
	c     *coverage
	kinds []Kind
	// rooms are the rooms that are tried, in requests, the most first; held is how many
	// layers the cards hold together beside each.
	rooms []float64
	held  []int
}

// newFiller returns a filler over the cards, which are used in their order. No card
// needs more room than most.
func newFiller(c *coverage, kinds []Kind, most float64) *filler {
	f := &filler{c: c, kinds: kinds}
	for room := most; room >= leastRoom; room /= fillStep {
		held := 0
		for _, k := range kinds {
			held += c.layersFor(k, room)
		}
		f.rooms, f.held = append(f.rooms, room), append(f.held, held)
	}
	return f
}

// room is the most room that the cards can have beside n layers, 0 if they cannot hold
// so many.
func (f *filler) room(n int) float64 {
	for i, held := range f.held {
		if held >= n {
			return f.rooms[i]
		}
	}
	return 0
}

// lay returns the cards' ranges, empty for those that are not needed. There are none if
// the cards cannot hold the layers.
func (f *filler) lay(layers config.LayerRange) []config.LayerRange {
	room := f.room(layers.Len())
	if room == 0 {
		return nil
	}
	ranges := make([]config.LayerRange, len(f.kinds))
	from := layers.From
	for i, k := range f.kinds {
		n := min(f.c.layersFor(k, room), layers.To-from)
		if n > 0 {
			ranges[i] = config.LayerRange{From: from, To: from + n}
			from += n
		}
	}
	return ranges
}
