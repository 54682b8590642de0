package enginesim

import (
	"fmt"
	"sync"
	"testing"

	"geraniumcroft/internal/config"
)

// BenchmarkTokens generates on 64 streams of two stages each through httpengine. One
// operation is one token; client and engines run in one process.
func BenchmarkTokens(b *testing.B) {
	const pairs, streamsAPair = 4, 16
	var readers sync.WaitGroup
	perStream := b.N/(pairs*streamsAPair) + 1
	client := newClient(b)
	var all [][]*Engine
	for range pairs {
		all = append(all, startEngines(b, Options{LayerTokensPerSecond: 1e9, Slots: streamsAPair}, config.LayerRange{To: 4}, config.LayerRange{From: 4, To: 8}))
	}
	b.ResetTimer()
	for _, engines := range all {
		for i := range streamsAPair {
			open := endless(engines, fmt.Sprint(i))
			open.MaxTokens = perStream
			streams := openAll(b, client, open)
			readers.Go(func() {
				if tokens, _, err := receive(streams[1], 1<<30); err != nil || len(tokens) != perStream {
					b.Errorf("%d tokens, %v", len(tokens), err)
				}
			})
		}
	}
	readers.Wait()
	b.StopTimer()
	b.ReportMetric(float64(perStream*pairs*streamsAPair)/b.Elapsed().Seconds(), "tokens/s")
}
