package entry

import (
	"runtime/debug"

	"geraniumcroft/internal/settings"
)

const (
	// reservedHandles are those that are not for callers: the store, peers, replicas that are asked,
	// files, listeners.
	reservedHandles = 400
	// handlesPerCaller are a caller's connection and that of its request to a replica.
	handlesPerCaller = 2
	// connectionBytes is what a caller's connection takes with its request in hand: buffers of both
	// connections, stacks, the request.
	connectionBytes = 64 << 10
	// connectionsMemory is the part of the memory that they may take.
	connectionsMemory = 0.5
	// heapMemory is the part of the memory from which the collector works harder.
	heapMemory = 0.75
	// leastConnections are allowed however small the VM is, mostConnections where its size is not
	// known.
	leastConnections = 16
	mostConnections  = 8192
)

// maxConnections is how many connections of callers a VM may have open. Beyond them it would run
// out of handles, so that connections wait unaccepted and sends fail, or of memory, which ends the
// process with all requests in its hands.
func maxConnections(vm settings.VM) int {
	most := mostConnections
	if vm.MaxHandles > 0 {
		most = min(most, (vm.MaxHandles-reservedHandles)/handlesPerCaller)
	}
	if vm.MemoryMB > 0 {
		most = min(most, int(connectionsMemory*float64(vm.MemoryMB<<20)/connectionBytes))
	}
	return max(leastConnections, most)
}

// boundHeap makes the collector work harder before the process is ended for its memory.
func boundHeap(vm settings.VM) {
	if vm.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapMemory * float64(vm.MemoryMB<<20)))
	}
}
