package enginesim

// linkKey identifies the link between two targets, in one direction.
type linkKey struct{ from, to string }
