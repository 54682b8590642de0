package admission

// flowHeap orders the nonempty flows by virtual start time. It implements
// heap.Interface.
type flowHeap []*flow

func (h flowHeap) Len() int           { return len(h) }
func (h flowHeap) Less(i, j int) bool { return h[i].start < h[j].start }

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap) Pop() any {
	old := *h
	last := len(old) - 1
	f := old[last]
	old[last] = nil
	*h = old[:last]
	f.index = -1
	return f
}
