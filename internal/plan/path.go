package plan

// path is a plan over groups rather than over single targets.
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

// mergeRevisits joins the legs of a group that the path visits more often than
// the group has members. An engine knows a request by its id and could not tell
// two stages of it apart; the layers between lie within the engine's range, so
// the engine can take them too.
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
