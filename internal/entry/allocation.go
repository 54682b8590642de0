package entry

import (
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/admission"
	"geraniumcroft/internal/allocator"
	"geraniumcroft/internal/census"
	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/overload"
	"geraniumcroft/internal/relay"
	"geraniumcroft/internal/settings"
	"geraniumcroft/internal/transport"
)

// allocatorConnections has the options of the connection to an allocator. Requests wait for its answers,
// so it ends soon after the allocator's VM has vanished.
var allocatorConnections = transport.Settings{KeepAlive: 500 * time.Millisecond, UserTimeout: 1500 * time.Millisecond}

// overloadControl reports whether priorities may decide who is served.
func (p *Process) overloadControl() bool { return p.Settings.Overload.Mode == settings.OverloadAuto }

// buildAllocation builds both ends of the allocation of paths within a data centre. Any VM may become the
// allocator, so each one keeps a table for it.
func (p *Process) buildAllocation() {
	s := p.Settings
	limits := overload.Limits{Reserve: s.Overload.Reserve, LateReserve: s.Overload.LateReserve}
	p.pools.SetOverloadLimits(limits)
	p.allocationPools = relay.NewPools()
	p.allocationPools.SetOverloadLimits(limits)
	p.allocationPools.OnRemoteSearch(func() { p.loadCache.WantAll() })
	p.allocationPools.SetVMCounts(layers.VMCounts{VM: s.VM.Name, DataCentre: s.VM.DataCentre, Fleet: assumedDataCentres, Local: 1, Whole: true})
	p.allocationQueue = admission.New(admission.Settings{}, p.invariants)
	p.reserver = relay.NewPathReserver(s.VM.DataCentre, p.allocationQueue, p.allocationPools, s.Overload.MinServed)
	p.allocator = allocator.NewClient(s.VM.Name, p.reserver, transport.NewDialer(allocatorConnections), p.Logger)
	p.allocatorServer = allocator.NewServer(p.reserver, p.declinesAllocations, p.Logger)
	p.mirror.Register(p.allocatorServer.Register)
}

// declinesAllocations reports whether this VM allocates no paths to others now.
func (p *Process) declinesAllocations() bool {
	return !p.overloadControl() || !p.view.ready() || p.gate.Draining()
}

// pathAllocator returns the allocator of competing requests, nil if priorities do not decide.
func (p *Process) pathAllocator() relay.PathAllocator {
	if !p.overloadControl() {
		return nil
	}
	return p.allocator
}

// setAllocationVMs applies the list of VMs to the allocation of paths.
func (p *Process) setAllocationVMs(vms []census.VM) {
	if !p.overloadControl() {
		return
	}
	var local []allocator.VM
	dataCentres := map[string]bool{}
	for _, vm := range vms {
		dataCentres[vm.DataCentre] = true
		if vm.DataCentre == p.Settings.VM.DataCentre {
			local = append(local, allocator.VM{Name: vm.Name, Address: vm.Address, Cores: vm.Cores})
		}
	}
	p.allocator.SetVMs(local)
	p.allocationPools.SetVMCounts(layers.VMCounts{
		VM: p.Settings.VM.Name, DataCentre: p.Settings.VM.DataCentre, Fleet: len(dataCentres), Local: 1, Whole: true,
	})
}

// allocationsDump is what a VM allocates to others.
type allocationsDump struct {
	allocator.Dump
	Queues any                      `json:"queues"`
	Pools  map[string][]layers.Dump `json:"pools"`
}

func (p *Process) dumpAllocations() *allocationsDump {
	if !p.overloadControl() {
		return nil
	}
	return &allocationsDump{Dump: p.allocatorServer.Dump(), Queues: p.allocationQueue.Dump(), Pools: p.allocationPools.Dump()}
}

// allocationFields describe the allocation of paths in the log of a VM's state.
func (p *Process) allocationFields() []zap.Field {
	if !p.overloadControl() {
		return nil
	}
	return []zap.Field{zap.String("allocator", p.allocator.Allocator()), zap.Any("allocations", p.allocatorServer.Dump())}
}
