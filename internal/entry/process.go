package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"geraniumcroft/internal/admission"
	"geraniumcroft/internal/allocator"
	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/census"
	"geraniumcroft/internal/follow"
	"geraniumcroft/internal/hop"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/lease"
	"geraniumcroft/internal/listener"
	"geraniumcroft/internal/loads"
	"geraniumcroft/internal/mirror"
	"geraniumcroft/internal/platform/accounted"
	"geraniumcroft/internal/platform/resilient"
	"geraniumcroft/internal/procload"
	"geraniumcroft/internal/pushback"
	pushbacksharing "geraniumcroft/internal/pushback/sharing"
	"geraniumcroft/internal/quarantine"
	"geraniumcroft/internal/quarantine/sharing"
	"geraniumcroft/internal/reach"
	"geraniumcroft/internal/relay"
	"geraniumcroft/internal/router"
	"geraniumcroft/internal/settings"
	"geraniumcroft/internal/sleep"
	"geraniumcroft/internal/telemetry"
	"geraniumcroft/internal/transport"
)

const (
	// maintenanceInterval is the pause between two checks for vanished replicas, for models
	// that the configuration added, and for whether this VM is a candidate for the placement.
	maintenanceInterval = 250 * time.Millisecond
)

// Options configures a Process.
type Options struct {
	Settings *settings.Settings
	Adapter  Adapter
	Pool     *transport.Pool
	Logger   *zap.Logger
	// LogDropped returns the number of log lines dropped since the start.
	LogDropped func() uint64
}

// Process relays requests on one VM. Start and Stop may each be called once.
type Process struct {
	Options
	metrics    *telemetry.Metrics
	recorder   *telemetry.Recorder
	invariants *invariant.Registry
	gate       *router.Gate
	// store counts the calls that reach the platform's store. table limits the rate of calls
	// for the VMs' own rows.
	store *accounted.Store
	table *resilient.Client
	view  *view
	// reach records whether this VM reaches the replicas, routes which of them only peers reach.
	reach  *reach.Tracker
	routes *reach.Routes
	// hopPeers are the peers that hopClient connects to replicas through. hopServer passes
	// connections of peers on.
	hopPeers  *hop.Peers
	hopClient *hop.Client
	hopServer *hop.Server
	// reachProber finds out whether this VM is cut off from the replicas.
	reachProber *hop.Prober
	// allocator asks for the paths of competing requests. allocatorServer allocates paths to other VMs from
	// allocationPools, behind allocationQueue, by the reserver.
	allocator       *allocator.Client
	allocatorServer *allocator.Server
	allocationPools *relay.Pools
	allocationQueue *admission.Controller
	reserver        *relay.PathReserver
	// requestPool has the connections for requests, controlPool those for polls and orders.
	requestPool, controlPool *transport.Pool
	controlEngines           Engines
	handler                  *relay.Handler
	pools                    *relay.Pools
	retryBudgets             *relay.RetryBudgets
	balancer                 *balance.Balancer
	admission                *admission.Controller
	census                   *census.Census
	// retryGroup is shared by the followers of the operator's tables.
	retryGroup    *follow.RetryGroup
	leases        *lease.Manager
	tenure        *tenure
	loadCache     *loads.Cache
	loadCollector *loads.Collector
	mirror        *mirror.Server
	peers         *mirror.Client
	peerSelection *peerSelection
	forwarder     *forwarder
	// quarantine records requests that crash replicas. sharing exchanges the records with
	// other VMs.
	quarantine *quarantine.Ledger
	// accepting is the listener of callers, processorLoad tells when it closes new connections.
	accepting     *listener.Listener
	processorLoad *procload.Monitor
	sharing       *sharing.Syncer
	// pushback records the rate limits, back-off times and announced departures of replicas.
	pushback        *pushback.Ledger
	pushbackSharing *pushbacksharing.Syncer

	listeners struct{ callers, ready, metrics, peers net.Listener }
	callers   *http.Server
	probes    *http.Server
	admin     *http.Server

	ctx           context.Context
	cancel        context.CancelFunc
	started       time.Time
	work          sync.WaitGroup
	placerStarted map[string]bool
	// counted reports whether the other VMs count this one. Only runMaintenance uses it.
	counted bool
}

// New builds a process and opens its listeners, so that their addresses are known. Nothing
// runs until Start.
func New(o Options) (*Process, error) {
	o.Adapter = withPanicsAsErrors(o.Adapter)
	p := &Process{Options: o, gate: &router.Gate{}, started: time.Now(), placerStarted: map[string]bool{}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	if err := p.listen(); err != nil {
		return nil, err
	}
	p.metrics = telemetry.NewMetrics(o.Settings.Metrics.Prefix)
	p.recorder = telemetry.NewRecorder(p.metrics.Scope, telemetry.RecorderOptions{})
	p.invariants = invariant.NewRegistry(p.onViolation)
	p.buildControlPlane()
	p.buildRequestPath()
	p.buildServers()
	return p, nil
}

func (p *Process) listen() error {
	s := p.Settings
	for address, listener := range map[string]*net.Listener{
		s.Callers.Address: &p.listeners.callers, s.Relay.ReadyAddress: &p.listeners.ready,
		s.Relay.MetricsAddress: &p.listeners.metrics, s.Peers.Address: &p.listeners.peers,
	} {
		opened, err := p.listenConfig(address).Listen(context.Background(), "tcp", address)
		if err != nil {
			p.closeListeners()
			return errors.Wrapf(err, "listener at %s", address)
		}
		*listener = opened
	}
	return nil
}

// peerConnections has the options of connections from peers. They carry requests of VMs that are cut off
// from the replicas: those of a VM that has vanished must not stay open at the replicas for long. The
// probes are few, as hundreds of VMs may be connected.
var peerConnections = transport.Settings{KeepAlive: 5 * time.Second, UserTimeout: 10 * time.Second}

// callerConnections has the options of connections from callers, whose links may be away for seconds.
var callerConnections = transport.Settings{KeepAlive: 15 * time.Second, UserTimeout: 30 * time.Second}

// listenConfig returns the configuration of the listener at an address.
func (p *Process) listenConfig(address string) *net.ListenConfig {
	switch address {
	case p.Settings.Peers.Address:
		return transport.NewListenConfig(peerConnections)
	case p.Settings.Callers.Address:
		return transport.NewListenConfig(callerConnections)
	}
	return &net.ListenConfig{}
}

func (p *Process) closeListeners() {
	for _, listener := range []net.Listener{p.listeners.callers, p.listeners.ready, p.listeners.metrics, p.listeners.peers} {
		if listener != nil {
			_ = listener.Close() // no connection was served on it
		}
	}
}

// CallersAddress returns the IP:port of the callers' listener.
func (p *Process) CallersAddress() string { return p.listeners.callers.Addr().String() }

// ReadyAddress returns the IP:port of the readiness listener, for the platform's load balancer.
func (p *Process) ReadyAddress() string { return p.listeners.ready.Addr().String() }

// MetricsAddress returns the IP:port of the listener for metrics and the dump.
func (p *Process) MetricsAddress() string { return p.listeners.metrics.Addr().String() }

// PeersAddress returns the IP:port of the listener for peers.
func (p *Process) PeersAddress() string { return p.listeners.peers.Addr().String() }

func (p *Process) onViolation(v invariant.Violation) {
	p.recorder.Violation(v.Name)
	p.Logger.Error("invariant violated", zap.String("invariant", string(v.Name)), zap.String("detail", v.Detail))
}

// serveReadiness answers the balancer. While this VM is short of processor time, new connections are better sent to
// others.
func (p *Process) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !p.gate.Ready() || p.processorLoad.Saturated() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Start starts the listeners and all background work and returns. Requests are served once the
// configuration and the replicas have been read.
func (p *Process) Start() {
	setHeapLimit(p.Settings.VM)
	p.accepting = listener.New(p.listeners.callers.(*net.TCPListener), maxConnections(p.Settings.VM))
	p.accepting.Saturated = p.processorLoad.Saturated
	p.spawn(func() { p.processorLoad.Run(p.ctx) })
	p.spawn(func() { _ = p.callers.Serve(p.accepting) }) // the errors only say that the servers were closed
	p.spawn(func() { _ = p.probes.Serve(p.listeners.ready) })
	p.spawn(func() { _ = p.admin.Serve(p.listeners.metrics) })
	p.spawn(func() { _ = p.mirror.Serve(p.listeners.peers) })
	p.spawn(func() { p.view.operatorTable.Run(p.ctx) })
	p.spawn(func() { p.view.replicaTable.Run(p.ctx) })
	p.spawn(func() { p.census.Run(p.ctx) })
	p.spawn(p.competeForPlacement)
	p.spawn(func() { p.forwarder.run(p.ctx) })
	p.spawn(func() { p.loadCollector.Run(p.ctx) })
	p.spawn(func() { p.sharing.Run(p.ctx) })
	p.spawn(func() { p.pushbackSharing.Run(p.ctx) })
	p.spawn(p.waitUntilReady)
	p.spawn(p.runMaintenance)
	p.spawn(func() { p.reachProber.Run(p.ctx) })
	p.spawn(p.runStateLog)
	p.Logger.Info("started", zap.String("dataCentre", p.Settings.VM.DataCentre), zap.String("callers", p.CallersAddress()),
		zap.Int("maxConnections", maxConnections(p.Settings.VM)))
}

func (p *Process) spawn(f func()) { p.work.Go(f) }

// waitUntilReady opens the gate once the configuration and the replicas have been read.
func (p *Process) waitUntilReady() {
	const pause = 20 * time.Millisecond
	for !p.view.ready() {
		if !sleep.For(p.ctx, pause) {
			return
		}
	}
	p.gate.SetLoaded()
	p.Logger.Info("ready", zap.Uint64("configVersion", p.view.Config().Version))
}

// runMaintenance does the periodic work that no event triggers.
func (p *Process) runMaintenance() {
	for sleep.For(p.ctx, maintenanceInterval) {
		p.view.dropExpired()
		p.updateCounted()
		for _, name := range p.view.modelServices() {
			if !p.placerStarted[name] {
				p.placerStarted[name] = true
				p.spawn(func() { p.runPlacer(name) })
			}
		}
	}
}
