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
	"geraniumcroft/internal/pushback"
	pushbacksharing "geraniumcroft/internal/pushback/sharing"
	"geraniumcroft/internal/quarantine"
	"geraniumcroft/internal/quarantine/sharing"
	"geraniumcroft/internal/relay"
)

const (
	// leaseTTL is how long the placement rests after its holder died, a bit more than
	// discovery takes to notice a dead replica.
	leaseTTL = 4 * time.Second
	// usualVMs is how many VMs are assumed before the list of them was read.
	usualVMs = 6
	// usualDataCentres is over how many data centres they are taken to be spread.
	usualDataCentres = 3
)

func (p *Process) buildControl() {
	s := p.Settings
	p.store = accounted.New(p.Adapter.Table, p.Adapter.Feed, p.metrics.Scope)
	p.table = resilient.New(p.store, nil, nil, resilient.Settings{
		VMs: usualVMs, WritesPerSecond: s.Platform.WritesPerSecond, ReadsPerSecond: s.Platform.ReadsPerSecond,
	})
	p.peers = mirror.NewClient(p.PeersAddress(), s.Peers.Seeds, p.Logger)
	p.mirror = mirror.NewServer(p.since, p.take, p.Logger)
	p.pushback = pushback.NewLedger(p.Logger)
	p.pushbackSharing = pushbacksharing.New(p.pushback, p.peers, p.Logger)
	p.admission = admission.New(admission.Settings{}, p.invariants)
	gate := relay.NewReplicaGate(p.pushback, p.admission.WakeAll)
	p.balancer = balance.New(balance.Settings{Gate: relay.TargetGate{ReplicaGate: gate}}, p.invariants)
	p.pools = relay.NewPools()
	p.pools.SetGate(gate)
	p.budgets = relay.NewRetryBudgets(relay.RetryBudgetSettings{Share: s.Relay.RetryShare, Slack: s.Relay.RetrySlack, Window: s.Relay.RetryWindow})
	p.pools.SetSharers(layers.VMCounts{DataCentre: s.VM.DataCentre, Fleet: usualVMs, Local: usualVMs / usualDataCentres})
	p.view = &view{
		adapter: p.Adapter, pools: p.pools, balancer: p.balancer, invariants: p.invariants, logger: p.Logger,
		listing: newListing(p.Adapter.DecodeReplica, p.Logger, p.onRestart),
		unfit:   newUnusableEntries(p.Logger),
		leaving: p.pushback.Leaving,
	}
	p.pushback.OnLeaving(p.view.onLeaving)
	p.tries = follow.NewRetryGroup()
	p.view.operator = p.follower(p.Adapter.OperatorTable, p.view.onConfig)
	p.view.replicas = p.follower(p.Adapter.ReplicaTable, p.view.onReplicas)
	own := census.VM{Name: s.VM.Name, Address: p.PeersAddress(), DataCentre: s.VM.DataCentre, Cores: s.VM.Cores}
	p.census = census.New(p.table, own, p.onVMs, p.Logger)
	p.board = loads.NewCache(p.view.onLoads, p.Logger)
	p.board.Attach(p.pushbackSharing)
	p.keeper = loads.NewCollector(loads.Options{
		Cache: p.board, Client: p.Adapter.Engines, Peers: p.peers, Tenure: func() (uint64, bool) { return p.tenure.now() }, ListReplicas: p.view.engines, Logger: p.Logger,
		MayAsk: func(k incarnation.Key) bool { return p.pushback.AllowLoadQuery(k, time.Now()) },
	})
	p.leases = lease.NewManager(lease.Options{
		Table: p.table, VM: s.VM.Name, Duties: []string{placer.Duty}, TTL: leaseTTL,
		VMs: func() int { return min(contenders, len(p.census.VMs())) }, Invariants: p.invariants, Logger: p.Logger,
	})
	p.quarantine = quarantine.NewLedger(quarantine.DefaultSettings, time.Now())
	p.sharing = sharing.New(sharing.Options{
		Ledger: p.quarantine, Peers: p.peers, Table: p.table, Logger: p.Logger,
		ShouldLoad: func() bool { return p.census.Known() && p.census.Follows() },
	})
	p.peers.OnNews, p.mirror.News = p.sharing.ObserveRevision, p.quarantine.Revision
	p.tenure = &tenure{leases: p.leases, board: p.board, logger: p.Logger}
}

// onRestart drops what is left of a replica's earlier incarnation: kept connections to it
// ended with it, and the first call on each would fail.
func (p *Process) onRestart(r relay.Replica) { p.Pool.Suspect(r.Address) }

func (p *Process) buildRequestPath() {
	p.handler = relay.New(relay.Options{
		DataCentre: p.Settings.VM.DataCentre, ConfigSource: p.view, Codec: p.Adapter.Codec, Gate: p.gate,
		Admission: p.admission, Balancer: p.balancer, Pools: p.pools, RetryBudgets: p.budgets,
		Engines: p.Adapter.Engines, Pool: p.Pool, Observer: p.recorder, Invariants: p.invariants, Logger: p.Logger,
		Quarantine: p.quarantine, QuarantineNotifier: p.sharing, Pushback: p.pushback, Incarnations: p.view.listing.incarnations,
	})
}

func (p *Process) buildServers() {
	s := p.Settings
	p.callers = &http.Server{
		Handler: p.handler, ReadHeaderTimeout: s.Callers.ReadTimeout, IdleTimeout: s.Callers.IdleTimeout,
		MaxHeaderBytes: s.Callers.MaxHeaderBytes, ConnContext: listener.ConnContext, ErrorLog: zap.NewStdLog(p.Logger.WithOptions(zap.IncreaseLevel(zap.WarnLevel))),
	}
	p.probes = &http.Server{Handler: http.HandlerFunc(p.answerProbe), ReadHeaderTimeout: s.Callers.ReadTimeout}
	p.admin = &http.Server{Handler: p.adminHandler(), ReadHeaderTimeout: s.Callers.ReadTimeout}
}
