package quarantine

import (
	"time"
)

// event is a function that the simulation calls at a point in virtual time.
type event struct {
	at time.Time
	// number orders events at the same time.
	number int
	do     func()
}

// eventHeap orders events by time, for container/heap.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].number < h[j].number
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
