package plan

// weightedPath is a path with its weight in tokens per second.
type weightedPath struct {
	legs   path
	weight float64
}
