package balance

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/invariant"
)

// BenchmarkMemory measures the memory of a view of 600 targets after reports and the counts of
// 16 peers, the memory of a full prefix index of one pool, and the size of the targets in a
// dump.
func BenchmarkMemory(b *testing.B) {
	snapshot := services(benchTargets, benchSlots)
	for b.Loop() {
		before := heapInUse()
		balancer := New(Settings{}, invariant.Strict())
		balancer.Update(snapshot)
		balancer.SetSubset(320, 0)
		counts := map[string]int{}
		for name := range snapshot.Targets {
			balancer.Report(name, engine.LoadReport{At: time.Now(), Active: 1})
			counts[name] = 1
		}
		for i := range 16 {
			balancer.PeerLoad(fmt.Sprint("peer", i), counts)
		}
		targets := heapInUse()
		b.ReportMetric(float64(targets-before), "targets-bytes")
		for i := range DefaultPrefixesPerPool {
			event := engine.CacheEvent{Seq: uint64(i + 1), Prefix: uint64(i)}
			balancer.CacheEvents(fmt.Sprintf("t%03d", i%benchTargets), engine.CacheEvents{Events: []engine.CacheEvent{event}})
		}
		b.ReportMetric(float64(heapInUse()-targets), "prefixes-bytes/pool")
		dump, _ := json.Marshal(balancer.Dump())
		b.ReportMetric(float64(len(dump)), "dump-bytes")
		runtime.KeepAlive(balancer)
	}
}

// heapInUse returns the size of the live heap after a collection.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkSubset measures how many of 600 targets one of 320 VMs uses, and which fraction of
// them a VM keeps when a VM that precedes it by name is removed.
func BenchmarkSubset(b *testing.B) {
	const fleet, models, layers = 320, 14, 24
	for _, c := range []struct{ slots, ranges int }{{8, 1}, {128, 1}, {365, 1}, {128, 2}} {
		b.Run(fmt.Sprintf("slots=%d/ranges=%d", c.slots, c.ranges), func(b *testing.B) {
			s := config.NewSnapshot()
			for i := range benchTargets {
				name, part := fmt.Sprintf("t%03d", i), i/models%c.ranges
				s.Targets[name] = &config.Target{
					Name: name, Kind: config.KindEngine, Model: fmt.Sprint("model", i%models), Version: "1", Slots: c.slots,
					Layers: config.LayerRange{From: part * layers / c.ranges, To: (part + 1) * layers / c.ranges}, State: config.StateActive,
				}
			}
			var used, kept int
			for b.Loop() {
				used, kept = 0, 0
				for vm := 0; vm < fleet-1; vm += fleet / 10 {
					before := usedTargets(s, fleet, vm+1)
					for name := range usedTargets(s, fleet-1, vm) {
						used++
						if before[name] {
							kept++
						}
					}
				}
			}
			b.ReportMetric(float64(used)/10, "targets/VM")
			b.ReportMetric(100*float64(kept)/float64(used), "%kept")
		})
	}
}

// usedTargets returns the targets in the subset of the VM with an index.
func usedTargets(s *config.Snapshot, fleet, index int) map[string]bool {
	balancer := New(Settings{}, invariant.Strict())
	balancer.Update(s)
	balancer.SetSubset(fleet, index)
	used := map[string]bool{}
	for name := range s.Targets {
		if _, reason := balancer.Usable(name); reason != ReasonOutsideSubset {
			used[name] = true
		}
	}
	return used
}
