package entry

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/relay"
)

// Guards against work that grows with the fleet at each change of a replica: every VM decoded
// all rows of the table, 20 ms of processor time for 3,000 replicas, more than once a second.
func TestOnlyChangedEntriesAreDecoded(t *testing.T) {
	for _, replicas := range []int{42, 600, 3_003, 6_006} {
		t.Run(fmt.Sprint(replicas, " replicas"), func(t *testing.T) {
			decoded := 0
			set := newReplicaSet(func(id string, row []byte) (relay.Replica, error) {
				decoded++
				return decodeRow(id, row)
			}, zap.NewNop(), func(relay.Replica) {})
			rows := map[string][]byte{}
			for i := range replicas {
				rows[fmt.Sprint("r-", i)] = []byte("engines,1800000000000,0,ready")
			}
			rows["broken"] = []byte("not an entry")
			set.update(rows, atRevision(1), false, testStart)
			decoded = 0
			rows["r-7"] = []byte("engines,1800000000000,10,ready")
			rows["added"] = []byte("engines,1800000000000,0,ready")
			delete(rows, "r-8")
			set.update(rows, atRevision(2), false, testStart.Add(time.Second))
			if decoded != 2 {
				t.Errorf("%d entries decoded, 2 have changed", decoded)
			}
			if r := set.listed["r-7"]; r.Held.To != 10 {
				t.Errorf("the changed entry is not applied: %+v", r)
			}
			if _, listed := set.listed["r-8"]; listed || len(set.listed) != replicas || len(set.unusable.reasons) != 1 {
				t.Errorf("%d replicas listed, %d unusable entries", len(set.listed), len(set.unusable.reasons))
			}
		})
	}
}
