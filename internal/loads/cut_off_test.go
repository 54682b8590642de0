package loads

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/platform"
)

// countingPeers counts the offers.
type countingPeers struct{ offers int }

func (p *countingPeers) Offer(context.Context, string, platform.TableChange, time.Duration) {
	p.offers++
}

func (p *countingPeers) FetchOne(context.Context, string, platform.Version) (platform.TableChange, time.Duration, bool) {
	return platform.TableChange{}, 0, false
}

// Guards against a VM that reaches no replica and whose snapshot says so of all replicas: without it all
// other VMs would avoid them, or lose the loads that they have.
func TestRoundWithoutAnyAnswerMakesNoSnapshot(t *testing.T) {
	for _, replicas := range []int{1, 2, 3, 4} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			peers, cache := &countingPeers{}, newRecordingCache()
			var all []layers.Replica
			for _, id := range []string{"1", "2", "3", "4"}[:replicas] {
				all = append(all, layers.Replica{ID: id, Address: id})
			}
			c := NewCollector(Options{
				Cache: cache.cache, Client: silentReplicas{each: 1}, Peers: peers, ListReplicas: func() []layers.Replica { return all },
				DataCentres: oneDataCentre, Logger: zap.NewNop(), Tenure: func() (uint64, bool) { return 1, true },
			})
			done := make(chan struct{})
			go func() {
				c.Run(ctx)
				close(done)
			}()
			time.Sleep(5 * interval)
			cancel()
			<-done
			if down := cache.cache.Down(); len(down) > 0 || peers.offers > 0 || cache.cache.Revision() > 0 {
				t.Errorf("%d replicas: %d down, %d offers, revision %d", replicas, len(down), peers.offers, cache.cache.Revision())
			}
		})
	}
}
