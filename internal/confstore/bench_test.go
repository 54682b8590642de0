package confstore

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"geraniumcroft/internal/config"
)

// The size of the configuration for which the system is designed.
const (
	benchTargets    = 600
	benchWorkspaces = 2600
	benchModels     = 14
	benchProfiles   = 2600
)

// benchSnapshot returns a configuration of that size.
func benchSnapshot(b *testing.B) *config.Snapshot {
	b.Helper()
	s := config.NewSnapshot()
	for i := range benchWorkspaces {
		name := fmt.Sprintf("workspace-%04d", i)
		digest := fmt.Sprintf("%064x", i)
		s.Workspaces[name] = &config.Workspace{Name: name, Weight: 1, KeyDigests: []string{digest}, Revision: 1}
	}
	for i := range benchModels {
		name := fmt.Sprintf("model-%02d", i)
		s.Models[name] = &config.Model{Name: name, Layers: 80, Versions: []string{"v1", "v2"}, Adapters: []string{"a1", "a2"}, Revision: 1}
	}
	for i := range benchTargets {
		name := fmt.Sprintf("target-%03d", i)
		s.Targets[name] = &config.Target{
			Name: name, Address: fmt.Sprintf("10.0.%d.%d:9000", i/200, i%200+1), DataCentre: fmt.Sprintf("dc-%d", i%10),
			Kind: config.KindEngine, Accelerator: fmt.Sprintf("kind-%d", i%5), Model: fmt.Sprintf("model-%02d", i%benchModels),
			Version: "v1", Adapters: []string{"a1", "a2"}, Layers: config.LayerRange{From: 0, To: 40}, Slots: 32,
			LayerTokensPerSecond: 1e5, State: config.StateActive, Revision: 1,
			Links: []config.Link{{To: "dc-1", Latency: config.Duration(250 * time.Microsecond), BytesPerSecond: 1e9}},
		}
	}
	for i := range benchProfiles {
		name := fmt.Sprintf("profile-%04d", i)
		s.Profiles[name] = &config.Profile{
			Name: name, Workspace: fmt.Sprintf("workspace-%04d", i), Class: config.ClassGeneration, Urgency: config.Normal,
			Models:   []config.ModelRef{{Model: fmt.Sprintf("model-%02d", i%benchModels), Version: "v1", Adapter: "a1"}},
			Deadline: config.Duration(30 * time.Second), Limits: config.Limits{MaxTokens: 2048}, Revision: 1,
		}
	}
	s.Version = 1
	if found := config.ValidateSnapshot(s); len(found) > 0 {
		b.Fatal(found)
	}
	return s
}

// benchChange returns a change that writes the entity again.
func benchChange(s *config.Snapshot, kind config.EntityKind, name string) config.Change {
	entity, _ := s.Entity(kind, name)
	value, _ := json.Marshal(entity)
	return config.Change{Version: s.Version + 1, ID: "c", Author: "ana", Kind: kind, Name: name, Value: value}
}

// BenchmarkApply measures the cost of one change on each VM.
func BenchmarkApply(b *testing.B) {
	s := benchSnapshot(b)
	for kind, name := range map[config.EntityKind]string{config.EntityTarget: "target-007", config.EntityProfile: "profile-0007"} {
		b.Run(string(kind), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := s.Apply(benchChange(s, kind, name)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkValidate measures the cost of validating one proposal on the VM that receives
// it, and of validating a whole snapshot.
func BenchmarkValidate(b *testing.B) {
	s := benchSnapshot(b)
	for kind, name := range map[config.EntityKind]string{config.EntityTarget: "target-007", config.EntityModel: "model-07"} {
		change := benchChange(s, kind, name)
		b.Run(string(kind), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if found := config.Validate(change, s); len(found) > 0 {
					b.Fatal(found)
				}
			}
		})
	}
	b.Run("snapshot", func(b *testing.B) {
		for b.Loop() {
			config.ValidateSnapshot(s)
		}
	})
}

// BenchmarkPropose measures a complete proposal on an in-memory table.
func BenchmarkPropose(b *testing.B) {
	f := &fixture{table: newFakeTable(), objects: newFakeObjects()}
	s := f.store("vm-1")
	for i := 0; b.Loop(); i++ {
		_, revision := s.Current().Entity(config.EntityWorkspace, "crews")
		if _, err := s.Propose(context.Background(), workspaceProposal("crews", revision, i)); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSnapshotObject measures the encoding of a snapshot by compaction and its decoding
// by a VM that starts.
func BenchmarkSnapshotObject(b *testing.B) {
	s := benchSnapshot(b)
	plain, _ := json.Marshal(s)
	object, err := encodeSnapshot(s)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			if _, err := encodeSnapshot(s); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(plain)), "JSON-bytes")
		b.ReportMetric(float64(len(object.body)), "object-bytes")
	})
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			if _, err := decodeSnapshot(object.body); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkSnapshotMemory reports the heap size of a snapshot, and the additional heap size
// of each further snapshot that differs from the previous one by one change.
func BenchmarkSnapshotMemory(b *testing.B) {
	const further = 100
	object, err := encodeSnapshot(benchSnapshot(b))
	if err != nil {
		b.Fatal(err)
	}
	var held []*config.Snapshot
	for b.Loop() {
		held = nil
		before := heap()
		s, err := decodeSnapshot(object.body)
		if err != nil {
			b.Fatal(err)
		}
		one := heap()
		held = append(held, s)
		for range further {
			next, err := held[len(held)-1].Apply(benchChange(held[len(held)-1], config.EntityProfile, "profile-0007"))
			if err != nil {
				b.Fatal(err)
			}
			held = append(held, next)
		}
		b.ReportMetric(float64(one-before), "snapshot-bytes")
		b.ReportMetric(float64(heap()-one)/further, "bytes/further-snapshot")
	}
	runtime.KeepAlive(held)
}

// heap returns the size of the live heap in bytes.
func heap() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkProposeRacing measures operators who concurrently change different entities
// through six VMs, on a table with a latency of 1 ms in each direction.
func BenchmarkProposeRacing(b *testing.B) {
	const vms = 6
	f := &fixture{table: newFakeTable(), objects: newFakeObjects()}
	f.table.pause = func() { time.Sleep(time.Millisecond) }
	var worst atomic.Int64
	var work sync.WaitGroup
	var proposals atomic.Int64
	for vm := range vms {
		s := f.storeWith(fmt.Sprintf("vm-%d", vm), Options{ProposeTimeout: time.Minute})
		work.Go(func() {
			for proposals.Add(1) <= int64(b.N) {
				_, revision := s.Current().Entity(config.EntityWorkspace, s.options.VM)
				began := time.Now()
				if _, err := s.Propose(context.Background(), workspaceProposal(s.options.VM, revision, int(revision)+1)); err != nil {
					b.Error(err)
				}
				took := time.Since(began).Nanoseconds()
				for old := worst.Load(); took > old && !worst.CompareAndSwap(old, took); old = worst.Load() {
				}
			}
		})
	}
	work.Wait()
	b.ReportMetric(float64(f.table.commits)/float64(b.N), "commits/change")
	b.ReportMetric(float64(worst.Load())/1e6, "worst-ms")
}
