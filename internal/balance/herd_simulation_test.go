package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"geraniumcroft/internal/engine"
)

// herdEvent is an event at a time of the simulation.
type herdEvent struct {
	at time.Duration
	do func()
}

type herdEvents []herdEvent

func (h herdEvents) Len() int { return len(h) }

func (h herdEvents) Less(i, j int) bool { return h[i].at < h[j].at }

func (h herdEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *herdEvents) Push(x any) { *h = append(*h, x.(herdEvent)) }

func (h *herdEvents) Pop() any {
	last := len(*h) - 1
	event := (*h)[last]
	*h = (*h)[:last]
	return event
}

// herd is one simulation with a chooser for each VM.
type herd struct {
	random   *rand.Rand
	uneven   bool
	length   time.Duration
	now      time.Duration
	events   herdEvents
	load     []int
	choosers []herdChooser
	worst    []float64
}

// herdChooser is how one VM chooses targets.
type herdChooser interface {
	choose() (target int, done func())
	report(target int, r engine.LoadReport)
	receive(peer int, inFlight map[string]int)
	inFlight() map[string]int
}

func (h *herd) after(wait time.Duration, do func()) {
	heap.Push(&h.events, herdEvent{h.now + wait, do})
}

func (h *herd) exponential(mean time.Duration) time.Duration {
	return time.Duration(h.random.ExpFloat64() * float64(mean))
}

func (h *herd) service(target int) time.Duration {
	if h.uneven && target%herdSlowStep == 0 {
		return 2 * herdService
	}
	return herdService
}

func (h *herd) addOutside() {
	for target := 0; h.uneven && target < herdTargets; target += herdSlowStep {
		h.load[target] = herdOutsideLoad
	}
}

func (h *herd) arrive() {
	target, done := h.choosers[h.random.IntN(len(h.choosers))].choose()
	h.load[target]++
	h.after(h.exponential(h.service(target)), func() { h.load[target]--; done() })
	h.after(h.exponential(time.Duration(float64(herdService)/(herdMeanLoad*herdTargets))), h.arrive)
}

func (h *herd) reports() {
	for target, load := range h.load {
		report := engine.LoadReport{At: time.Now(), Active: load}
		h.after(herdReportLag, func() {
			for _, c := range h.choosers {
				c.report(target, report)
			}
		})
	}
	h.after(herdReportEvery, h.reports)
}

func (h *herd) gossip() {
	for from, c := range h.choosers {
		counts := c.inFlight()
		for to, other := range h.choosers {
			if from != to {
				other.receive(from, counts)
			}
		}
	}
	h.after(herdPeerEvery, h.gossip)
}

func (h *herd) sample() {
	total := 0
	for _, load := range h.load {
		total += load
	}
	if h.now > herdWarmUp && total > 0 {
		h.worst = append(h.worst, float64(slices.Max(h.load))*herdTargets/float64(total))
	}
	h.after(20*time.Millisecond, h.sample)
}

// run returns the mean and the 99th percentile of the ratio of the largest load to the mean
// load.
func (h *herd) run() (mean, p99 float64) {
	h.load = make([]int, herdTargets)
	h.addOutside()
	if len(h.events) == 0 {
		h.arrive()
	}
	h.reports()
	h.gossip()
	h.sample()
	for len(h.events) > 0 && h.now < h.length {
		next := heap.Pop(&h.events).(herdEvent)
		time.Sleep(next.at - h.now)
		h.now = next.at
		next.do()
	}
	slices.Sort(h.worst)
	for _, worst := range h.worst {
		mean += worst / float64(len(h.worst))
	}
	return mean, h.worst[len(h.worst)*99/100]
}

func herdName(target int) string { return fmt.Sprintf("t%03d", target) }

func herdIndex(name string) (target int) {
	_, _ = fmt.Sscanf(name, "t%d", &target)
	return target
}
