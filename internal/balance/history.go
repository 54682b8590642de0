package balance

import (
	"sync/atomic"
	"time"
)

const (
	historyBuckets = 64
	historyWidth   = 50 * time.Millisecond
)

// history records the net change of a counter over the last few seconds, so that the
// counter's value at an earlier time can be computed. For a time before the recorded ones
// the result is the oldest known value. It is safe for concurrent use.
type history struct {
	// buckets hold the number of the bucket in the upper half and the net change in the
	// lower half.
	buckets [historyBuckets]atomic.Uint64
}

func bucketOf(t time.Time) uint32 { return uint32(t.UnixNano() / int64(historyWidth)) }

func packBucket(number uint32, net int32) uint64 { return uint64(number)<<32 | uint64(uint32(net)) }

func unpackBucket(packed uint64) (number uint32, net int32) {
	return uint32(packed >> 32), int32(uint32(packed))
}

// add records a change of the counter at the given time.
func (h *history) add(now time.Time, delta int) {
	number := bucketOf(now)
	bucket := &h.buckets[number%historyBuckets]
	for {
		packed := bucket.Load()
		have, net := unpackBucket(packed)
		if have != number {
			net = 0
		}
		if bucket.CompareAndSwap(packed, packBucket(number, net+int32(delta))) {
			return
		}
	}
}

// since returns the net change after t.
func (h *history) since(t, now time.Time) int {
	from, to := bucketOf(t), bucketOf(now)
	total := 0
	for i := range h.buckets {
		number, net := unpackBucket(h.buckets[i].Load())
		if age := to - number; age < historyBuckets && number-from-1 < 1<<31 {
			total += int(net)
		}
	}
	return total
}
