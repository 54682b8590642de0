package pushback

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// assumedVMs is the number of VMs assumed to share a limit while the fleet is not known: all VMs may
	// have started at the same time while the store is unavailable, without knowing of each other.
	assumedVMs = 400
	// minRate is the rate in requests per second that is sent to a replica with a lower limit, because
	// only an answer of the replica shows that the limit has ended.
	minRate = 0.1
	// trialDelay is the time without information about a limit after which a VM that is no sender sends
	// one request as a trial, and trialShare the share of the limit that the trials of all VMs use.
	trialDelay = 30 * time.Second
	trialShare = 0.25
)

// quota is the share of a replica's limit that one VM may use.
type quota struct {
	// sender reports whether this VM may send requests regularly. A VM that is no sender makes trials
	// only.
	sender bool
	// rate is in requests per second, burst in requests.
	rate  float64
	burst int
	// trialDelay is the time without information about the limit after which a VM that is no sender
	// makes a trial.
	trialDelay time.Duration
}

// quotaFor returns the quota of the VM with the given rank in the fleet. Only as many VMs as the limit has
// requests per second are senders. With equal shares for all VMs, a small limit would leave each VM one
// request in minutes, and the bursts of all VMs would add up. With this rule, all VMs together send at
// most the limit times the length of a window, plus a burst of one second's worth.
func quotaFor(limit Limit, fleet Fleet, rank int) quota {
	rate := max(minRate, limit.PerSecond)
	if !fleet.Known {
		return trialQuota(rate, rand.IntN(assumedVMs))
	}
	senders := max(1, min(int(min(rate, math.MaxInt32)), len(fleet.VMs)))
	if rank >= senders {
		return trialQuota(rate, rank-senders)
	}
	own := rate / float64(senders)
	return quota{sender: true, rate: own, burst: max(1, int(min(own, math.MaxInt32)))}
}

// trialQuota returns the quota of a VM that is no sender. The trials of the VMs follow one another by
// position.
func trialQuota(rate float64, position int) quota {
	after := float64(position) / (trialShare * rate)
	return quota{trialDelay: trialDelay + time.Duration(after*float64(time.Second))}
}
