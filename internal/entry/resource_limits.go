package entry

import (
	"runtime/debug"

	"geraniumcroft/internal/settings"
)

const (
	// reservedHandles is the number of handles kept for other uses than callers: the store, peers,
	// control calls to replicas, files and listeners.
	reservedHandles = 400
	// handlesPerCaller counts a caller's connection and that of its request to a replica.
	handlesPerCaller = 2
	// bytesPerConnection is the memory that a caller's connection takes while its request runs:
	// buffers of both connections, stacks, the request.
	bytesPerConnection = 64 << 10
	// connectionsMemoryShare is the part of the memory that callers' connections may take.
	connectionsMemoryShare = 0.5
	// passedOnShare is the part of the handles, and of the memory, that connections of peers may take.
	passedOnShare = 0.125
	// bodyMemoryShare is the part of the memory that the bodies of callers' requests may take.
	bodyMemoryShare = 0.15
	// heapLimitShare is the part of the memory at which the garbage collector works harder.
	heapLimitShare = 0.75
	// minConnections is allowed however small the VM is. connectionsCap is the most that is allowed,
	// and applies where the VM's size is not known.
	minConnections = 16
	connectionsCap = 8192
)

// maxConnections returns how many connections of callers a VM may have open. With more it could
// run out of handles, so that connections wait unaccepted and sends fail, or out of memory, which
// ends the process with all its requests in progress.
func maxConnections(vm settings.VM) int {
	limit := connectionsCap
	if vm.MaxHandles > 0 {
		limit = min(limit, (vm.MaxHandles-reservedHandles-maxPassedOn(vm))/handlesPerCaller)
	}
	if vm.MemoryMB > 0 {
		limit = min(limit, int(connectionsMemoryShare*float64(vm.MemoryMB<<20)/bytesPerConnection))
	}
	return max(minConnections, limit)
}

// maxPassedOn returns how many connections of peers to replicas a VM passes on. Each takes one handle;
// all together take a small part of the handles and of the memory, which its own callers need.
func maxPassedOn(vm settings.VM) int {
	limit := connectionsCap
	if vm.MaxHandles > 0 {
		limit = min(limit, int(passedOnShare*float64(vm.MaxHandles-reservedHandles)))
	}
	if vm.MemoryMB > 0 {
		limit = min(limit, int(passedOnShare*float64(vm.MemoryMB<<20)/bytesPerConnection))
	}
	return max(minConnections, limit)
}

// maxBodyMemory returns how many bytes of requests' bodies a VM holds at a time, 0 if its memory is not known.
func maxBodyMemory(vm settings.VM) int64 {
	return int64(bodyMemoryShare * float64(vm.MemoryMB<<20))
}

// setHeapLimit sets a soft memory limit, so that the garbage collector works harder before the
// process is killed for its memory use. It does nothing if the VM's memory is not known.
func setHeapLimit(vm settings.VM) {
	if vm.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapLimitShare * float64(vm.MemoryMB<<20)))
	}
}
