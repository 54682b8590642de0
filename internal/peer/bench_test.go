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

// The benchmarks run whole nodes in one process over TCP on the loopback interface.

const (
	designWorkspaces = 2600
	designTargets    = 600
	// inFlightTargets is the number of targets at which a VM has requests in flight.
	inFlightTargets = 230
	idleTime        = 10 * time.Second
	benchTimeout    = time.Minute
	pollInterval    = 2 * time.Millisecond
)

type benchVM struct {
	store *memoryStore
	node  *Node
	load  *loadTable
}

// newBenchFleet starts a fleet over TCP and waits until every VM knows all others.
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
			Store: vm.store, Load: vm.load, SharesTargets: sharesTargetsWith(i, size), Invariants: invariant.Strict(), Settings: s,
		})
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = vm.node.Serve(lis) }()
		go vm.node.Run(ctx)
		b.Cleanup(func() { cancel(); vm.node.cancel(); vm.node.server.Stop() })
		vms[i] = vm
	}
	started := time.Now()
	for ok, reason := joined(vms); !ok; ok, reason = joined(vms) {
		if time.Since(started) > benchTimeout {
			b.Fatal("the VMs do not all know each other: ", reason)
		}
		time.Sleep(10 * pollInterval)
	}
	return vms
}

// sharesTargetsWith makes each VM share its targets with its neighbours in the order of names.
func sharesTargetsWith(index, size int) func(vm string) bool {
	const neighbours = 8
	shared := map[string]bool{}
	for offset := -neighbours; offset <= neighbours; offset++ {
		shared[vmName((index+offset+size)%size)] = true
	}
	return func(vm string) bool { return shared[vm] }
}

// changeLoad changes the number of requests in flight at some targets.
func (vm *benchVM) changeLoad(count int) {
	for range count {
		vm.load.set(targetName(rand.IntN(inFlightTargets)), 1+rand.IntN(8))
	}
}

// waitForRumours waits until no rumour from the start of the fleet is pending.
func waitForRumours(b *testing.B, vms []*benchVM) {
	waitUntil(b, func() bool {
		return !slices.ContainsFunc(vms, func(vm *benchVM) bool { return vm.node.Dump().(Dump).Rumours > 0 })
	})
}

// waitUntil polls the condition in real time and returns how long it took. It fails the benchmark
// after benchTimeout.
func waitUntil(b *testing.B, condition func() bool) time.Duration {
	b.Helper()
	started := time.Now()
	for time.Since(started) < benchTimeout {
		if condition() {
			return time.Since(started)
		}
		time.Sleep(pollInterval)
	}
	b.Fatal("the condition is not met within the benchmark's timeout")
	return 0
}

// joined reports whether every VM knows all others, and otherwise which one does not.
func joined(vms []*benchVM) (bool, string) {
	for _, vm := range vms {
		if count := vm.node.PeerCount(); count != len(vms)-1 {
			return false, fmt.Sprintf("%s knows %d peers, counters %+v", vm.node.options.VM, count, vm.node.Counters())
		}
	}
	return true, ""
}

// BenchmarkChangeInForce measures the time until a change is in force on all VMs, and until the VM
// that accepted it has their confirmations.
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
		waitUntil(b, func() bool {
			return !slices.ContainsFunc(vms, func(vm *benchVM) bool { return vm.store.Current().Version < version })
		})
		inForce = append(inForce, time.Since(started))
		waitUntil(b, func() bool {
			_, missing := origin.node.InForce(version)
			return len(missing) == 0
		})
		known = append(known, time.Since(started))
	}
	reportTimes(b, "inforce", inForce)
	reportTimes(b, "known", known)
	reportFaults(b, vms)
	b.ReportMetric(0, "ns/op")
}

func reportTimes(b *testing.B, prefix string, times []time.Duration) {
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2])/1e6, prefix+"-median-ms")
	b.ReportMetric(float64(times[len(times)-1])/1e6, prefix+"-max-ms")
}

// reportFaults reports reconnects and suspicions, which show how far the machine was too slow for
// the timeouts.
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

// BenchmarkCost measures the resources that a node uses with a configuration of full size and
// changing load, both without configuration changes and with one per second.
func BenchmarkCost(b *testing.B) {
	for _, size := range []int{6, 16, 32, 64, 320} {
		for _, changing := range []bool{false, true} {
			name := map[bool]string{true: "change-a-second", false: "idle"}[changing]
			b.Run(fmt.Sprintf("%s/%d", name, size), func(b *testing.B) { benchCost(b, size, changing) })
		}
	}
}

func benchCost(b *testing.B, size int, changing bool) {
	before := memoryInUse()
	vms := newBenchFleet(b, size, Settings{}, true)
	waitForRumours(b, vms)
	for range b.N {
		cpu, sent, received := usage(vms)
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
		cpuAfter, sentAfter, receivedAfter := usage(vms)
		perNode := float64(size) * time.Since(started).Seconds()
		b.ReportMetric(100*(cpuAfter-cpu).Seconds()/perNode, "%core/node")
		b.ReportMetric(float64(sentAfter-sent)/perNode/1e3, "sent-KB/s/node")
		b.ReportMetric(float64(receivedAfter-received)/perNode/1e3, "received-KB/s/node")
	}
	b.ReportMetric(float64(memoryInUse()-before)/float64(size)/1e6, "heap-MB/node")
	b.ReportMetric(0, "ns/op")
	runtime.KeepAlive(vms)
}

func usage(vms []*benchVM) (cpu time.Duration, sent, received uint64) {
	var rusage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &rusage)
	for _, vm := range vms {
		sent += vm.node.Traffic().Sent()
		received += vm.node.Traffic().Received()
	}
	return time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano()), sent, received
}

func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// BenchmarkSnapshot measures the size of a snapshot of a configuration of full size, and the cost
// of encoding and compressing it.
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
