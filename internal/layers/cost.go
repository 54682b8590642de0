package layers

import (
	"math"
	"time"
)

const (
	// suspectCost is added for a stage on a suspected replica. It is longer than any path
	// takes, so such a stage is used only if no other replica holds the layers.
	suspectCost = 100 * time.Second
	// remoteEntryCost is added when the first stage is in another data centre than the
	// request. The whole answer then crosses between them.
	remoteEntryCost = 150 * time.Millisecond
	// crossingWeight multiplies the time to send a prompt between data centres. Transfers are
	// sent one after another, so each one also delays those after it.
	crossingWeight = 6.0
	// linkQueueShare is the fraction of a mean prompt's transfer time for which each token is
	// assumed to wait for the link between two data centres, behind other prompts.
	linkQueueShare = 0.4
	// stageOverhead is the mean wait for a step in progress at each stage, in units of the
	// stage's own step time.
	stageOverhead = 0.5
	// hopCost is added for each stage and token, for the network hop.
	hopCost = 100 * time.Microsecond
	// loadWeight is how strongly a replica is avoided as it fills: at the VM's even share its
	// cost is 1 + loadWeight times that of an empty one.
	loadWeight = 2.0
	// maxLocalUse is the part of its share of a replica up to which a VM does not look at other
	// data centres. Its cost is then at most 1.125 times that of an empty one, which for a path of
	// a second or two is no more than remoteEntryCost.
	maxLocalUse = 0.25
)

// firstStageCost returns the cost of reaching a path's first replica, in seconds. It is
// infinite if the replica takes no request now.
func (s *search) firstStageCost(r *replicaState) float64 {
	if s.fromCaller && !s.admitsEntry(r) {
		return math.Inf(1)
	}
	if s.fromCaller && !s.open(r) {
		return math.Inf(1)
	}
	if s.fromDC == "" || s.fromDC == r.DataCentre {
		return 0
	}
	if s.fromCaller {
		return remoteEntryCost.Seconds()
	}
	return s.crossingCost(s.fromDC, r.DataCentre)
}

// share returns the fraction of a replica that this VM may always use.
func (s *search) share(r *replicaState) float64 { return s.table.vmCounts.share(r.DataCentre) }

// crossingCost returns the cost of sending the request's activations from one data centre to
// another, in seconds. It is infinite while this VM has used up its part of the link.
func (s *search) crossingCost(from, to string) float64 {
	spec := s.table.spec
	if !s.table.mayCross(from, to, s.now) {
		return math.Inf(1)
	}
	cost := float64(s.query.Answer) * spec.LinkDelay.Seconds()
	if spec.LinkMbps > 0 {
		perToken := spec.ActivationBytes * 8 / (spec.LinkMbps * 1e6)
		cost += crossingWeight * float64(s.query.Prompt) * perToken
		cost += linkQueueShare * float64(s.query.Answer) * float64(spec.MeanPrompt) * perToken
	}
	return cost
}

// stageCost returns the time that the request takes on n layers of the replica, in seconds,
// weighted by how full the replica is. It is infinite for a replica without enough memory.
func (s *search) stageCost(r *replicaState, n int) float64 {
	spec := s.table.spec
	amount := s.query.tokens() * float64(n)
	if !s.fits(r, amount) || s.query.MaxUsage > 0 && r.usageAbove(s.query.MaxUsage, s.now) {
		return math.Inf(1)
	}
	used := r.shareUsed(s.share(r))
	part := float64(n) / float64(spec.Layers)
	batch := used * r.capacity / max(1, float64(r.Held.Len())) / s.query.tokens()
	step := spec.stepTime(r.kind, batch, s.query.tokens()) * part
	slow := r.slowdown(s.now)
	write := float64(s.query.Answer) * (step*(1+stageOverhead)*slow + hopCost.Seconds())
	read := spec.prefillTime(r.kind, float64(s.query.Prompt), n) * slow
	cost := (write + read) * (1 + loadWeight*used*used)
	if r.suspected(s.now) {
		cost += suspectCost.Seconds()
	}
	return cost
}
