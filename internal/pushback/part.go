package pushback

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// unknownVMs is how many VMs are taken to share a limit before they were counted. All may have
	// started at once while the store is away, and none of them knows of the others.
	unknownVMs = 400
	// leastRate is sent per second to a replica that names less, as only an answer can tell that the
	// limit has ended.
	leastRate = 0.1
	// trialAfter is how long nothing must have been heard of a limit until a VM without a part in it
	// tries one request, and trialShare the part of the limit that the trials of all VMs take.
	trialAfter = 30 * time.Second
	trialShare = 0.25
)

// part is what one VM may send of a replica's limit.
type part struct {
	// sender says that this VM may send; the others leave the replica to it.
	sender bool
	// rate is in requests a second, burst in requests.
	rate  float64
	burst int
	// trialAfter is after how long a VM that is no sender tries one request.
	trialAfter time.Duration
}

// partOf divides a limit among VMs. An even part of a small limit would be one request in minutes, and
// what each VM may send at once adds up, so there are no more senders than requests a second. Then
// all VMs together send at most the limit times the window, and a second's worth more at once.
func partOf(limit Limit, fleet Fleet, rank int) part {
	rate := max(leastRate, limit.PerSecond)
	if !fleet.Known {
		return trialPart(rate, rand.IntN(unknownVMs))
	}
	senders := max(1, min(int(min(rate, math.MaxInt32)), len(fleet.VMs)))
	if rank >= senders {
		return trialPart(rate, rank-senders)
	}
	own := rate / float64(senders)
	return part{sender: true, rate: own, burst: max(1, int(min(own, math.MaxInt32)))}
}

// trialPart is that of a VM that is no sender. VMs try one after the other, by their turns.
func trialPart(rate float64, turn int) part {
	after := float64(turn) / (trialShare * rate)
	return part{trialAfter: trialAfter + time.Duration(after*float64(time.Second))}
}
