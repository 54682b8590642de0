package enginesim

// delayedQueue is a heap of activations, ordered by arrival time.
type delayedQueue []*activation

func (q delayedQueue) Len() int           { return len(q) }
func (q delayedQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q delayedQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *delayedQueue) Push(x any) { *q = append(*q, x.(*activation)) }

// Pop implements heap.Interface.
func (q *delayedQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}
