package entry

import (
	"fmt"
	"maps"
	"testing"

	"go.uber.org/zap"

	"geraniumcroft/internal/relay"
)

// BenchmarkOneChangedEntry measures the update of the replica set after a change of one row.
func BenchmarkOneChangedEntry(b *testing.B) {
	for _, n := range []int{216, 2_920, 5_840} {
		b.Run(fmt.Sprint(n, " replicas"), func(b *testing.B) {
			set := newReplicaSet(decodeRow, zap.NewNop(), func(relay.Replica) {})
			rows := map[string][]byte{}
			for i := range n {
				rows[fmt.Sprint("r-", i)] = []byte("engines,1800000000000,0,ready")
			}
			versions := []map[string][]byte{rows, maps.Clone(rows)}
			versions[1]["r-7"] = []byte("engines,1800000000000,10,ready")
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				set.update(versions[i%2], atRevision(uint64(i)), false, testStart)
			}
		})
	}
}
