package plan

type weightedPath struct {
	legs   path
	weight float64
}
