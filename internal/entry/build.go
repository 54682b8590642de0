package entry

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/admission"
	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/census"
	"geraniumcroft/internal/follow"
	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/lease"
	"geraniumcroft/internal/listener"
	"geraniumcroft/internal/loads"
	"geraniumcroft/internal/mirror"
	"geraniumcroft/internal/placer"
	"geraniumcroft/internal/platform/accounted"
	"geraniumcroft/internal/platform/resilient"
	"geraniumcroft/internal/procload"
	"geraniumcroft/internal/pushback"
	pushbacksharing "geraniumcroft/internal/pushback/sharing"
	"geraniumcroft/internal/quarantine"
	"geraniumcroft/internal/quarantine/sharing"
	"geraniumcroft/internal/relay"
)

const (
	// leaseTTL is the duration of the placement lease: no VM holds it for this long after its
	// holder has died. It is a bit more than discovery takes to notice a dead replica.
	leaseTTL = 4 * time.Second
	// assumedVMs is the fleet size assumed until the list of VMs has been read.
	assumedVMs = 6
	// assumedDataCentres is the number of data centres over which assumedVMs are spread.
	assumedDataCentres = 3
)

func (p *Process) buildControlPlane() {
	s := p.Settings
	p.store = accounted.New(p.Adapter.Table, p.Adapter.Feed, p.metrics.Scope)
	p.table = resilient.New(p.store, nil, nil, resilient.Settings{
		VMs: assumedVMs, WritesPerSecond: s.Platform.WritesPerSecond, ReadsPerSecond: s.Platform.ReadsPerSecond,
	})
	p.peers = mirror.NewClient(p.PeersAddress(), s.Peers.Seeds, p.Logger)
	p.peerSelection = &peerSelection{
		dataCentre: s.VM.DataCentre, seeds: s.Peers.Seeds, apply: p.peers.SetPeers,
		followsFeed: p.followsFeed, relays: func() bool { return p.census.Relays() },
	}
	p.forwarder = newForwarder(p.peers.Forward, p.Logger)
	p.mirror = mirror.NewServer(p.changesSince, p.applyOffer, p.Logger)
	p.buildWays()
	p.pushback = pushback.NewLedger(p.Logger)
	p.pushbackSharing = pushbacksharing.New(p.pushback, p.peers, p.Logger)
	p.admission = admission.New(admission.Settings{}, p.invariants)
	gate := relay.NewReplicaGate(p.pushback, p.admission.WakeAll)
	p.balancer = balance.New(balance.Settings{Gate: relay.TargetGate{ReplicaGate: gate}}, p.invariants)
	p.pools = relay.NewPools()
	p.pools.SetGate(gate)
	p.pools.OnRemoteSearch(func() { p.loadCache.WantAll() })
	p.retryBudgets = relay.NewRetryBudgets(relay.RetryBudgetSettings{VM: s.VM.Name, Share: s.Relay.RetryShare, Slack: s.Relay.RetrySlack, Window: s.Relay.RetryWindow, FirstStart: s.VM.FirstStart})
	p.buildAllocation()
	p.pools.SetVMCounts(layers.VMCounts{VM: s.VM.Name, DataCentre: s.VM.DataCentre, Fleet: assumedVMs, Local: assumedVMs / assumedDataCentres})
	p.view = &view{
		adapter: p.Adapter, pools: p.pools, balancer: p.balancer, invariants: p.invariants, logger: p.Logger,
		allocationPools: p.allocationPools, onAllocation: p.reserver.CapacityChanged, overloadControl: p.overloadControl(),
		replicaSet: newReplicaSet(p.Adapter.DecodeReplica, p.Logger, p.onRestart),
		mismatched: newUnusableEntries(p.Logger),
		isLeaving:  p.pushback.Leaving,
	}
	p.pushback.OnLeaving(p.view.onLeaving)
	p.view.replicaSet.onStartKnown = p.pushback.Rename
	p.retryGroup = follow.NewRetryGroup()
	p.view.operatorTable = p.follower(p.Adapter.OperatorTable, p.view.contentVersion, p.view.onConfig)
	p.view.replicaTable = p.follower(p.Adapter.ReplicaTable, nil, p.view.onReplicas)
	own := census.VM{Name: s.VM.Name, Address: p.PeersAddress(), DataCentre: s.VM.DataCentre, Cores: s.VM.Cores}
	p.census = census.New(census.Options{Table: p.table, Own: own, Peers: p.peers, FirstStart: s.VM.FirstStart, Eras: p.Adapter.Eras, OnChange: p.onVMs, Logger: p.Logger})
	p.loadCache = loads.NewCache(s.VM.DataCentre, p.view.onLoads, p.Logger)
	p.loadCache.Attach(p.pushbackSharing)
	p.loadCollector = loads.NewCollector(loads.Options{
		Cache: p.loadCache, Client: p.controlEngines, Peers: p.peers, Tenure: p.currentTenure, ListReplicas: p.view.modelReplicas, DataCentres: p.view.dataCentres, Logger: p.Logger,
		MayAsk: func(k incarnation.Key) bool { return p.pushback.AllowLoadQuery(k, time.Now()) },
	})
	p.leases = lease.NewManager(lease.Options{
		Table: p.table, VM: s.VM.Name, Duties: []string{placer.Duty}, TTL: leaseTTL,
		Era: p.Adapter.Eras.Current, FirstStart: s.VM.FirstStart,
		VMs: func() int { return min(maxCandidates, len(p.census.VMs())) }, Invariants: p.invariants, Logger: p.Logger,
	})
	p.processorLoad = procload.NewMonitor(p.Settings.VM.MaxPressure)
	p.quarantine = quarantine.NewLedger(quarantine.DefaultSettings, time.Now())
	p.sharing = sharing.New(sharing.Options{
		Ledger: p.quarantine, Peers: p.peers, Table: p.table, Eras: p.Adapter.Eras, Logger: p.Logger,
		ShouldLoad: func() bool { return p.census.Loaded() && p.census.FollowsFeed() },
	})
	p.peers.OnNews, p.mirror.News = p.sharing.ObserveRevision, p.quarantine.Revision
	p.tenure = &tenure{leases: p.leases, loadCache: p.loadCache, logger: p.Logger}
}

// onRestart discards the idle connections to a replica's earlier incarnation. They ended with
// it, and the first call on each would fail.
func (p *Process) onRestart(r relay.Replica) {
	p.requestPool.CloseIdle(r.Address)
	p.controlPool.CloseIdle(r.Address)
}

func (p *Process) buildRequestPath() {
	p.handler = relay.New(relay.Options{
		DataCentre: p.Settings.VM.DataCentre, ConfigSource: p.view, ReplicaList: p.view, Codec: p.Adapter.Codec, Gate: p.gate,
		Admission: p.admission, Balancer: p.balancer, Pools: p.pools, BodyMemory: maxBodyMemory(p.Settings.VM), RetryBudgets: p.retryBudgets,
		Engines: p.Adapter.NewEngines(p.requestPool), Pool: p.requestPool, Observer: p.recorder, Invariants: p.invariants, Logger: p.Logger,
		Quarantine: p.quarantine, QuarantineNotifier: p.sharing, Pushback: p.pushback,
		Reach: p.reachProber, Allocator: p.pathAllocator(), Overload: relay.NewOverloadControl(p.Settings.Overload.MinServed), Incarnations: p.view.replicaSet.incarnations,
		Saturated: p.processorLoad.Saturated,
	})
}

func (p *Process) buildServers() {
	s := p.Settings
	p.callers = &http.Server{
		Handler: p.handler, ReadHeaderTimeout: s.Callers.ReadTimeout, IdleTimeout: s.Callers.IdleTimeout,
		MaxHeaderBytes: s.Callers.MaxHeaderBytes, ConnContext: listener.ConnContext, ErrorLog: zap.NewStdLog(p.Logger.WithOptions(zap.IncreaseLevel(zap.WarnLevel))),
	}
	p.probes = &http.Server{Handler: http.HandlerFunc(p.serveReadiness), ReadHeaderTimeout: s.Callers.ReadTimeout}
	p.admin = &http.Server{Handler: p.adminHandler(), ReadHeaderTimeout: s.Callers.ReadTimeout}
}
