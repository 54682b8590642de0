package entry

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"geraniumcroft/internal/census"
	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/mirror"
	"geraniumcroft/internal/relay"
)

// learntState is what a VM has learnt of other VMs and of replicas, with the news that it has got.
type learntState struct {
	selection *peerSelection
	applied   mirror.Peers
	replicas  *replicaSet
	now       time.Time

	vms      []census.VM
	seeds    []string
	rows     map[string][]byte
	newest   map[string]int64 // the latest start of each replica that an entry or a report has named
	revision uint64
}

func newLearntState() *learntState {
	s := &learntState{now: testStart, rows: map[string][]byte{}, newest: map[string]int64{}}
	s.replicas = newReplicaSet(decodeRow, zap.NewNop(), func(relay.Replica) {})
	s.selection = s.newSelection(func(p mirror.Peers) { s.applied = p })
	return s
}

func (s *learntState) newSelection(apply func(mirror.Peers)) *peerSelection {
	return &peerSelection{dataCentre: "dc0", apply: apply, followsFeed: func() bool { return len(s.vms)%2 == 0 }, relays: func() bool { return len(s.vms)%3 == 0 }}
}

// setRow writes the entry of a replica and passes the table on. An empty row deletes the entry.
func (s *learntState) setRow(id string, born int64, row string) {
	s.revision++
	s.rows = maps.Clone(s.rows)
	if s.rows[id] = []byte(row); row == "" {
		delete(s.rows, id)
	} else {
		s.newest[id] = max(s.newest[id], born)
	}
	s.replicas.update(s.rows, atRevision(s.revision), false, s.now)
}

// check compares what the VM has learnt with what the news says.
func (s *learntState) check(t *rapid.T) {
	var want mirror.Peers
	fresh := s.newSelection(func(p mirror.Peers) { want = p })
	fresh.setVMs(s.vms)
	fresh.setSeeds(s.seeds)
	for _, p := range []mirror.Peers{s.applied, want} { // they come in any order
		slices.SortFunc(p.RemoteFollowers, slices.Compare)
	}
	if !reflect.DeepEqual(s.applied, want) {
		t.Fatalf("peers %+v, the list and the seeds say %+v", s.applied, want)
	}
	known := s.replicas.current()
	if len(known) != len(s.rows) {
		t.Fatalf("%d replicas are known, %d have entries", len(known), len(s.rows))
	}
	for _, r := range known {
		if r.Born != s.newest[r.ID] {
			t.Fatalf("%s: start %d, the news says %d", r.ID, r.Born, s.newest[r.ID])
		}
	}
}

// Guards against a reload, a new list or a new table that takes away what a VM has learnt: in any order of them and
// of restarts of replicas, it knows what the news says.
func TestLearntStateIsWhatTheNewsSays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newLearntState()
		s.selection.setVMs(nil)
		ids := rapid.SampledFrom([]string{"a", "b", "c"})
		borns := rapid.Custom(func(t *rapid.T) int64 { return testStart.UnixMilli() - 1000*rapid.Int64Range(1, 9).Draw(t, "age") })
		t.Repeat(map[string]func(*rapid.T){
			"reload": func(t *rapid.T) {
				s.seeds = rapid.SliceOfN(rapid.SampledFrom([]string{"x", "y", "z"}), 0, 3).Draw(t, "seeds")
				s.selection.setSeeds(slices.Clone(s.seeds))
			},
			"list of VMs": func(t *rapid.T) {
				s.vms = nil
				for i := range rapid.IntRange(0, 24).Draw(t, "VMs") {
					s.vms = append(s.vms, census.VM{Name: fmt.Sprint("vm-", i), Address: fmt.Sprint("address-", i), DataCentre: fmt.Sprint("dc", i%3), Cores: 1})
				}
				s.selection.setVMs(slices.Clone(s.vms))
			},
			"entry": func(t *rapid.T) {
				id, born := ids.Draw(t, "id"), borns.Draw(t, "born")
				if _, listed := s.rows[id]; !listed && s.newest[id] > 0 {
					born = s.newest[id] + 1 // an entry of an incarnation that has left does not say that it is back
				}
				s.setRow(id, born, fmt.Sprintf("drafts,%d,10,%s", born, rapid.SampledFrom([]string{"ready", "draining"}).Draw(t, "state")))
			},
			"deleted entry": func(t *rapid.T) { s.setRow(ids.Draw(t, "id"), 0, "") },
			"report": func(t *rapid.T) {
				key := incarnation.Key{ID: ids.Draw(t, "id"), Born: borns.Draw(t, "born")}
				s.newest[key.ID] = max(s.newest[key.ID], key.Born)
				s.replicas.observeReport(key, s.now)
			},
			"": func(t *rapid.T) { s.check(t) },
		})
	})
}
