package peer

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/encoding/gzip"

	"geraniumcroft/internal/invariant"
)

// The benchmarks run whole nodes of one process over TCP on the loopback.

const (
	designWorkspaces = 2600
	designTargets    = 600
	// inFlightTargets is how many targets a VM has requests in flight at.
	inFlightTargets = 230
	idleTime        = 10 * time.Second
	benchBound      = time.Minute
	pollStep        = 2 * time.Millisecond
)

type benchVM struct {
	store *memoryStore
	node  *Node
	load  *loadTable
}

// newBenchFleet starts a fleet over TCP and waits until all know all.
func newBenchFleet(b *testing.B, size int, s Settings, full bool) []*benchVM {
	listeners := make([]net.Listener, size)
	for i := range listeners {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		listeners[i] = lis
	}
	seeds := []string{listeners[0].Addr().String(), listeners[size-1].Addr().String()}
	vms := make([]*benchVM, size)
	for i, lis := range listeners {
		vm := &benchVM{store: newMemoryStore(), load: newLoadTable(map[string]int{})}
		if full {
			fill(vm.store, designWorkspaces, designTargets)
			vm.changeLoad(inFlightTargets)
		}
		vm.node = New(Options{
			VM: vmName(i), DataCentre: "hall-a", Address: lis.Addr().String(), Seeds: seeds,
			Store: vm.store, Load: vm.load, SharesTargets: sharing(i, size), Invariants: invariant.Strict(), Settings: s,
		})
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = vm.node.Serve(lis) }()
		go vm.node.Run(ctx)
		b.Cleanup(func() { cancel(); vm.node.cancel(); vm.node.server.Stop() })
		vms[i] = vm
	}
	started := time.Now()
	for ok, why := joined(vms); !ok; ok, why = joined(vms) {
		if time.Since(started) > benchBound {
			b.Fatal("the fleet does not come together: ", why)
		}
		time.Sleep(10 * pollStep)
	}
	return vms
}

// sharing makes each VM share its targets with the next few in the order of names.
func sharing(index, size int) func(vm string) bool {
	const neighbours = 8
	shared := map[string]bool{}
	for offset := -neighbours; offset <= neighbours; offset++ {
		shared[vmName((index+offset+size)%size)] = true
	}
	return func(vm string) bool { return shared[vm] }
}

// changeLoad changes what is in flight at some targets.
func (vm *benchVM) changeLoad(count int) {
	for range count {
		vm.load.set(targetName(rand.IntN(inFlightTargets)), 1+rand.IntN(8))
	}
}

// settle waits until the rumours of the start have been passed on.
func settle(b *testing.B, vms []*benchVM) {
	poll(b, func() bool {
		return !slices.ContainsFunc(vms, func(vm *benchVM) bool { return vm.node.Dump().(Dump).Rumours > 0 })
	})
}

// poll waits for a condition in real time, for a benchmark's bound.
func poll(b *testing.B, holds func() bool) time.Duration {
	b.Helper()
	started := time.Now()
	for time.Since(started) < benchBound {
		if holds() {
			return time.Since(started)
		}
		time.Sleep(pollStep)
	}
	b.Fatal("the condition does not hold within the benchmark's bound")
	return 0
}

// joined reports whether all know all, and otherwise who does not.
func joined(vms []*benchVM) (bool, string) {
	for _, vm := range vms {
		if count := vm.node.PeerCount(); count != len(vms)-1 {
			return false, fmt.Sprintf("%s knows %d peers, counters %+v", vm.node.options.VM, count, vm.node.Counters())
		}
	}
	return true, ""
}

// BenchmarkChangeInForce gives the time until a change is in force on all VMs,
// and until the VM that took it knows that it is.
func BenchmarkChangeInForce(b *testing.B) {
	for _, push := range []bool{true, false} {
		for _, size := range []int{6, 16, 32, 64, 320} {
			name := map[bool]string{true: "push", false: "sync"}[push]
			b.Run(fmt.Sprintf("%s/%d", name, size), func(b *testing.B) { benchChange(b, size, push) })
		}
	}
}

func benchChange(b *testing.B, size int, push bool) {
	settings := Settings{}
	if !push {
		settings.PushFanout = -1
	}
	vms := newBenchFleet(b, size, settings, false)
	var inForce, known []time.Duration
	for i := range b.N {
		origin := vms[i%size]
		changes := origin.store.commit(fmt.Sprint("change-", i))
		version := changes[0].Version
		started := time.Now()
		if push {
			origin.node.Announce(changes)
		}
		poll(b, func() bool {
			return !slices.ContainsFunc(vms, func(vm *benchVM) bool { return vm.store.Current().Version < version })
		})
		inForce = append(inForce, time.Since(started))
		poll(b, func() bool {
			_, missing := origin.node.InForce(version)
			return len(missing) == 0
		})
		known = append(known, time.Since(started))
	}
	report(b, "inforce", inForce)
	report(b, "known", known)
	reportFaults(b, vms)
	b.ReportMetric(0, "ns/op")
}

func report(b *testing.B, what string, times []time.Duration) {
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2])/1e6, what+"-median-ms")
	b.ReportMetric(float64(times[len(times)-1])/1e6, what+"-max-ms")
}

// reportFaults tells how far the machine itself was too slow for the timeouts.
func reportFaults(b *testing.B, vms []*benchVM) {
	var reconnects, suspicions float64
	for _, vm := range vms {
		counters := vm.node.Counters()
		reconnects += float64(counters.Reconnects)
		suspicions += float64(counters.Suspicions)
	}
	b.ReportMetric(reconnects/float64(len(vms)), "reconnects/node")
	b.ReportMetric(suspicions/float64(len(vms)), "suspicions/node")
}

// BenchmarkCost gives what a node spends with the whole configuration and its
// load changing, without changes of the configuration and with one a second.
func BenchmarkCost(b *testing.B) {
	for _, size := range []int{6, 16, 32, 64, 320} {
		for _, changing := range []bool{false, true} {
			name := map[bool]string{true: "change-a-second", false: "idle"}[changing]
			b.Run(fmt.Sprintf("%s/%d", name, size), func(b *testing.B) { benchCost(b, size, changing) })
		}
	}
}

func benchCost(b *testing.B, size int, changing bool) {
	before := heap()
	vms := newBenchFleet(b, size, Settings{}, true)
	settle(b, vms)
	for range b.N {
		cpu, sent, received := spent(vms)
		started := time.Now()
		for time.Since(started) < idleTime {
			for _, vm := range vms {
				vm.changeLoad(inFlightTargets / 4)
			}
			if changing {
				origin := vms[rand.IntN(size)]
				origin.node.Announce(origin.store.commit(fmt.Sprint("change-", time.Now().UnixNano())))
			}
			time.Sleep(time.Second)
		}
		cpuAfter, sentAfter, receivedAfter := spent(vms)
		perNode := float64(size) * time.Since(started).Seconds()
		b.ReportMetric(100*(cpuAfter-cpu).Seconds()/perNode, "%core/node")
		b.ReportMetric(float64(sentAfter-sent)/perNode/1e3, "sent-KB/s/node")
		b.ReportMetric(float64(receivedAfter-received)/perNode/1e3, "received-KB/s/node")
	}
	b.ReportMetric(float64(heap()-before)/float64(size)/1e6, "heap-MB/node")
	b.ReportMetric(0, "ns/op")
	runtime.KeepAlive(vms)
}

func spent(vms []*benchVM) (cpu time.Duration, sent, received uint64) {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	for _, vm := range vms {
		sent += vm.node.Traffic().Sent()
		received += vm.node.Traffic().Received()
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), sent, received
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// BenchmarkSnapshot gives the size of a snapshot of the design's size, and what
// encoding and compressing it takes.
func BenchmarkSnapshot(b *testing.B) {
	store := newMemoryStore()
	fill(store, designWorkspaces, designTargets)
	b.Run("encode", func(b *testing.B) {
		for range b.N {
			encoded, _ := new(snapshotCache).encode(store.Current())
			b.ReportMetric(float64(len(encoded))/1e3, "KB")
		}
	})
	encoded, _ := new(snapshotCache).encode(store.Current())
	b.Run("gzip", func(b *testing.B) {
		for range b.N {
			var compressed bytes.Buffer
			w, _ := encoding.GetCompressor(gzip.Name).Compress(&compressed)
			_, _ = w.Write(encoded)
			_ = w.Close()
			b.ReportMetric(float64(compressed.Len())/1e3, "KB")
		}
	})
}
