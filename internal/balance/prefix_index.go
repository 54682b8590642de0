package balance

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// holdersPerPrefix limits how many targets are stored for a prefix. A prefix that more
// targets hold needs no hint.
const holdersPerPrefix = 4

// prefixIndex records which targets of a pool have which prefixes cached. One bounded index
// by prefix is used instead of one for each target, because a choice looks up the holders of
// a prefix, and the memory then does not grow with the number of targets. It is safe for
// concurrent use.
type prefixIndex struct {
	mu  sync.Mutex // guards lru
	lru *simplelru.LRU[uint64, holders]
}

func newPrefixIndex(size int) *prefixIndex {
	lru, err := simplelru.NewLRU[uint64, holders](size, nil)
	if err != nil {
		panic(err) // the size is a setting with a positive default
	}
	return &prefixIndex{lru: lru}
}

// find returns the holders of the longest of the prefixes that is held by any target, and
// the fraction of the prefixes up to it.
func (x *prefixIndex) find(prefixes []uint64) (found holders, covered float64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i := len(prefixes) - 1; i >= 0; i-- {
		if found, ok := x.lru.Get(prefixes[i]); ok {
			return found, float64(i+1) / float64(len(prefixes))
		}
	}
	return holders{}, 0
}

// add records that a holder has the prefix cached.
func (x *prefixIndex) add(prefix uint64, h holder) {
	x.mu.Lock()
	defer x.mu.Unlock()
	have, _ := x.lru.Peek(prefix)
	have.put(h)
	x.lru.Add(prefix, have)
}

// remove records that a target no longer has the prefix cached.
func (x *prefixIndex) remove(prefix uint64, t *target) {
	x.mu.Lock()
	defer x.mu.Unlock()
	have, ok := x.lru.Peek(prefix)
	if !ok {
		return
	}
	left := 0
	for i := range have {
		if have[i].target == t {
			have[i] = holder{}
		}
		if have[i].valid() {
			left++
		}
	}
	if left == 0 {
		x.lru.Remove(prefix)
		return
	}
	x.lru.Add(prefix, have)
}
