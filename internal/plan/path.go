package plan

// path is a plan over groups instead of single targets.
type path []leg

// uses counts the legs that take the group.
func (p path) uses(group int) int {
	count := 0
	for _, l := range p {
		if l.group == group {
			count++
		}
	}
	return count
}

// mergeRevisits merges the legs of a group that the path visits more often than the group has free
// members. An engine identifies a request by its id and could not distinguish two stages of it. The
// layers between the legs lie within the engine's range, so the engine can serve them too.
func (g *graph) mergeRevisits(p path, free func(group int) int) path {
	for first := 0; first < len(p); first++ {
		if p.uses(p[first].group) <= free(p[first].group) {
			continue
		}
		for last := len(p) - 1; last > first; last-- {
			if p[last].group == p[first].group {
				p[first].to = p[last].to
				p = append(p[:first+1], p[last+1:]...)
				break
			}
		}
	}
	return p
}
