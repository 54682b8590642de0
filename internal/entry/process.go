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
	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/census"
	"geraniumcroft/internal/follow"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/lease"
	"geraniumcroft/internal/listener"
	"geraniumcroft/internal/loads"
	"geraniumcroft/internal/mirror"
	"geraniumcroft/internal/platform/accounted"
	"geraniumcroft/internal/platform/resilient"
	"geraniumcroft/internal/pushback"
	pushbacksharing "geraniumcroft/internal/pushback/sharing"
	"geraniumcroft/internal/quarantine"
	"geraniumcroft/internal/quarantine/sharing"
	"geraniumcroft/internal/relay"
	"geraniumcroft/internal/router"
	"geraniumcroft/internal/settings"
	"geraniumcroft/internal/sleep"
	"geraniumcroft/internal/telemetry"
	"geraniumcroft/internal/transport"
)

const (
	// settleInterval is the pause between two looks at replicas that vanished, and at
	// models that the configuration added.
	settleInterval = 250 * time.Millisecond
	// contenders is how many VMs compete for the placement, in the order of a hash of
	// their names.
	contenders = 3
	// holderSilence is the age of the board of loads, which the holder renews each second,
	// from which all VMs compete: the contenders may all have died at once.
	holderSilence = 8 * time.Second
)

// Options are what a Process is made from.
type Options struct {
	Settings *settings.Settings
	Adapter  Adapter
	Pool     *transport.Pool
	Logger   *zap.Logger
	// LogDropped returns how many lines of the log were lost.
	LogDropped func() uint64
}

// Process is one relaying VM's process. Start it once and Stop it once.
type Process struct {
	Options
	metrics    *telemetry.Metrics
	recorder   *telemetry.Recorder
	invariants *invariant.Registry
	gate       *router.Gate
	// store counts the calls that reach the platform; table bounds those to the own rows.
	store     *accounted.Store
	table     *resilient.Client
	view      *view
	handler   *relay.Handler
	pools     *relay.Pools
	budgets   *relay.RetryBudgets
	balancer  *balance.Balancer
	admission *admission.Controller
	census    *census.Census
	// tries are shared by the copies of the operator's tables.
	tries  *follow.RetryGroup
	leases *lease.Manager
	tenure *tenure
	board  *loads.Cache
	keeper *loads.Collector
	mirror *mirror.Server
	peers  *mirror.Client
	// quarantine knows requests that crash replicas, and sharing exchanges it with other VMs.
	quarantine *quarantine.Ledger
	sharing    *sharing.Syncer
	// pushback keeps what replicas ask of those who send to them.
	pushback        *pushback.Ledger
	pushbackSharing *pushbacksharing.Syncer

	listeners struct{ callers, ready, metrics, peers net.Listener }
	callers   *http.Server
	probes    *http.Server
	admin     *http.Server

	ctx     context.Context
	cancel  context.CancelFunc
	started time.Time
	work    sync.WaitGroup
	placed  map[string]bool
	// counted says that the other VMs count this one. Only lookAround uses it.
	counted bool
}

// New puts a process together and opens its listeners, so that their addresses are
// known. Nothing runs until Start.
func New(o Options) (*Process, error) {
	o.Adapter = withoutPanics(o.Adapter)
	p := &Process{Options: o, gate: &router.Gate{}, started: time.Now(), placed: map[string]bool{}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	if err := p.listen(); err != nil {
		return nil, err
	}
	p.metrics = telemetry.NewMetrics(o.Settings.Metrics.Prefix)
	p.recorder = telemetry.NewRecorder(p.metrics.Scope, telemetry.RecorderOptions{})
	p.invariants = invariant.NewRegistry(p.onViolation)
	p.buildControl()
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
		opened, err := net.Listen("tcp", address)
		if err != nil {
			p.closeListeners()
			return errors.Wrapf(err, "listener at %s", address)
		}
		*listener = opened
	}
	return nil
}

func (p *Process) closeListeners() {
	for _, listener := range []net.Listener{p.listeners.callers, p.listeners.ready, p.listeners.metrics, p.listeners.peers} {
		if listener != nil {
			_ = listener.Close() // nothing was served on it
		}
	}
}

// CallersAddress returns IP:port of the callers' listener.
func (p *Process) CallersAddress() string { return p.listeners.callers.Addr().String() }

// ReadyAddress returns IP:port at which the balancer asks.
func (p *Process) ReadyAddress() string { return p.listeners.ready.Addr().String() }

// MetricsAddress returns IP:port of the metrics and the dump.
func (p *Process) MetricsAddress() string { return p.listeners.metrics.Addr().String() }

// PeersAddress returns IP:port of the listener for peers.
func (p *Process) PeersAddress() string { return p.listeners.peers.Addr().String() }

func (p *Process) onViolation(v invariant.Violation) {
	p.recorder.Violation(v.Name)
	p.Logger.Error("invariant violated", zap.String("invariant", string(v.Name)), zap.String("detail", v.Detail))
}

func (p *Process) answerProbe(w http.ResponseWriter, _ *http.Request) {
	if !p.gate.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Start begins all work. Requests are served once the configuration and the replicas
// were read.
func (p *Process) Start() {
	boundHeap(p.Settings.VM)
	accepting := listener.New(p.listeners.callers.(*net.TCPListener), maxConnections(p.Settings.VM))
	p.spawn(func() { _ = p.callers.Serve(accepting) }) // these end when their servers are closed
	p.spawn(func() { _ = p.probes.Serve(p.listeners.ready) })
	p.spawn(func() { _ = p.admin.Serve(p.listeners.metrics) })
	p.spawn(func() { _ = p.mirror.Serve(p.listeners.peers) })
	p.spawn(func() { p.view.operator.Run(p.ctx) })
	p.spawn(func() { p.view.replicas.Run(p.ctx) })
	p.spawn(func() { p.census.Run(p.ctx) })
	p.spawn(p.contend)
	p.spawn(func() { p.keeper.Run(p.ctx) })
	p.spawn(func() { p.sharing.Run(p.ctx) })
	p.spawn(func() { p.pushbackSharing.Run(p.ctx) })
	p.spawn(p.becomeReady)
	p.spawn(p.lookAround)
	p.spawn(p.tellState)
	p.Logger.Info("started", zap.String("dataCentre", p.Settings.VM.DataCentre), zap.String("callers", p.CallersAddress()),
		zap.Int("maxConnections", maxConnections(p.Settings.VM)))
}

func (p *Process) spawn(f func()) { p.work.Go(f) }

// becomeReady waits for the configuration and the replicas.
func (p *Process) becomeReady() {
	const pause = 20 * time.Millisecond
	for !p.view.ready() {
		if !sleep.For(p.ctx, pause) {
			return
		}
	}
	p.gate.SetLoaded()
	p.Logger.Info("ready", zap.Uint64("configVersion", p.view.Config().Version))
}

// lookAround does what no event brings about.
func (p *Process) lookAround() {
	for sleep.For(p.ctx, settleInterval) {
		p.view.settle()
		p.noteCounted()
		for _, name := range p.view.modelNames() {
			if !p.placed[name] {
				p.placed[name] = true
				p.spawn(func() { p.place(name) })
			}
		}
	}
}
