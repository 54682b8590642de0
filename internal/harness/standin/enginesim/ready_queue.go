package enginesim

// readyQueue is a heap of activations, ordered by priority (highest first) and then
// by the order in which they were scheduled.
type readyQueue []*activation

func (q readyQueue) Len() int { return len(q) }
func (q readyQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].seq < q[j].seq
}
func (q readyQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *readyQueue) Push(x any) { *q = append(*q, x.(*activation)) }

// Pop implements heap.Interface.
func (q *readyQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}
