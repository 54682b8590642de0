package admission

import (
	"hash/maphash"
	"maps"
	"sync"
)

const inHandShards = 64

// inHand counts requests in hand by name, for the limits of workspaces and
// profiles. Names without a limit are not counted. It is sharded so that a
// workspace's burst does not hold up the others on a lock.
type inHand struct {
	seed   maphash.Seed
	shards [inHandShards]inHandShard
}

type inHandShard struct {
	mu     sync.Mutex // guards counts
	counts map[string]int
}

func newInHand() *inHand {
	h := &inHand{seed: maphash.MakeSeed()}
	for i := range h.shards {
		h.shards[i].counts = map[string]int{}
	}
	return h
}

func (h *inHand) shard(name string) *inHandShard {
	return &h.shards[maphash.String(h.seed, name)%inHandShards]
}

// enter counts one more unless the limit is reached.
func (h *inHand) enter(name string, limit int) bool {
	if limit <= 0 {
		return true
	}
	s := h.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts[name] >= limit {
		return false
	}
	s.counts[name]++
	return true
}

func (h *inHand) leave(name string, limit int) {
	if limit <= 0 {
		return
	}
	s := h.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[name]--
	if s.counts[name] <= 0 {
		delete(s.counts, name)
	}
}

func (h *inHand) snapshot() map[string]int {
	copied := map[string]int{}
	for i := range h.shards {
		h.shards[i].copyTo(copied)
	}
	return copied
}

func (s *inHandShard) copyTo(all map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.Copy(all, s.counts)
}
