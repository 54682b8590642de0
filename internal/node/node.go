package node

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"geraniumcroft/internal/admission"
	"geraniumcroft/internal/api"
	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/claim"
	"geraniumcroft/internal/confstore"
	"geraniumcroft/internal/dispatch"
	"geraniumcroft/internal/drain"
	"geraniumcroft/internal/generation"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/lease"
	"geraniumcroft/internal/orders"
	"geraniumcroft/internal/peer"
	"geraniumcroft/internal/platform/resilient"
	"geraniumcroft/internal/roster"
	"geraniumcroft/internal/router"
	"geraniumcroft/internal/settings"
	"geraniumcroft/internal/telemetry"
	"geraniumcroft/internal/watch"
)

// Node is one VM's process. Start it once and Stop it once.
type Node struct {
	settings   *settings.Settings
	options    Options
	version    string
	started    time.Time
	logger     *zap.Logger
	closeLog   func() error
	logDropped func() uint64
	metrics    *telemetry.Metrics
	recorder   *telemetry.Recorder
	invariants *invariant.Registry

	platform  *resilient.Client
	store     *confstore.Store
	admission *admission.Controller
	balancer  *balance.Balancer
	plans     *router.PlanCache
	wiring    Wiring
	runner    *generation.Runner
	claims    *claim.Claims
	gate      *router.Gate
	router    *router.Router
	tracker   *drain.Tracker
	watcher   *watch.Watcher
	peers     *peer.Node
	roster    *roster.Roster
	leases    *lease.Manager
	orders    *orders.Controller

	peerListener  net.Listener
	adminListener net.Listener
	adminServer   *http.Server
	callers       *api.Server
	callersAddr   string

	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup
	// duties are what this VM does under leases; they end before the leases go back.
	duties     sync.WaitGroup
	dutiesCtx  context.Context
	stopDuties context.CancelFunc
	ready      chan struct{}
}

// New builds a node and opens the listeners of peers and operators, so that
// their addresses are known. Nothing runs until Start.
func New(o Options) (*Node, error) {
	n := &Node{options: o, settings: o.Settings, version: o.Version, started: time.Now(), ready: make(chan struct{})}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.dutiesCtx, n.stopDuties = context.WithCancel(n.ctx)
	if err := n.openLog(); err != nil {
		return nil, err
	}
	n.metrics = telemetry.NewMetrics(o.Settings.Metrics.Prefix)
	n.recorder = telemetry.NewRecorder(n.metrics.Scope, telemetry.RecorderOptions{})
	n.invariants = invariant.NewRegistry(n.onViolation)
	n.wire()
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.buildPlatform()
	n.buildRequestPath()
	n.buildControl()
	return n, n.buildServers()
}

func (n *Node) openLog() error {
	if n.options.Logger != nil {
		n.logger, n.closeLog = n.options.Logger, func() error { return nil }
		n.logDropped = func() uint64 { return 0 }
		return nil
	}
	out := n.options.LogOut
	if out == nil {
		out = io.Discard
	}
	log, err := telemetry.NewLog(telemetry.LogOptions{Level: n.settings.Log.Level, Format: n.settings.Log.Format, Out: out})
	if err != nil {
		return err
	}
	n.logger, n.closeLog = log.Logger.With(zap.String("vm", n.settings.VM.Name)), log.Close
	n.logDropped = log.Dropped
	return nil
}

func (n *Node) onViolation(v invariant.Violation) {
	n.recorder.Violation(v.Name)
	n.logger.Error("invariant violated", zap.String("invariant", string(v.Name)), zap.String("detail", v.Detail))
	if n.options.OnViolation != nil {
		n.options.OnViolation(v)
	}
}

func (n *Node) listen() error {
	peers, err := n.wiring.Listen(n.settings.Peers.Address)
	if err != nil {
		return errors.Wrap(err, "peers' listener")
	}
	admin, err := n.wiring.Listen(n.settings.Admin.Address)
	if err != nil {
		_ = peers.Close()
		return errors.Wrap(err, "operators' listener")
	}
	n.peerListener, n.adminListener = peers, secured(admin, n.options.AdminTLS)
	return nil
}

func secured(lis net.Listener, config *tls.Config) net.Listener {
	if config == nil {
		return lis
	}
	return tls.NewListener(lis, config)
}

// Router returns the request path, for calls within the process.
func (n *Node) Router() *router.Router { return n.router }

// Store returns the configuration's store.
func (n *Node) Store() *confstore.Store { return n.store }

// Peers returns this VM's end of the connections to its peers.
func (n *Node) Peers() *peer.Node { return n.peers }

// Leases returns this VM's leases.
func (n *Node) Leases() *lease.Manager { return n.leases }

// Invariants returns the registry of violations.
func (n *Node) Invariants() *invariant.Registry { return n.invariants }

// CallersAddress returns IP:port of the callers' listener once Start returned.
func (n *Node) CallersAddress() string { return n.callersAddr }

// AdminAddress returns IP:port of the operators' listener.
func (n *Node) AdminAddress() string { return n.adminListener.Addr().String() }

// PeerAddress returns IP:port of the peers' listener.
func (n *Node) PeerAddress() string { return n.peerListener.Addr().String() }

// Ready is closed once the configuration in force was read.
func (n *Node) Ready() <-chan struct{} { return n.ready }

func (n *Node) dispatchSettings() dispatch.Settings {
	if n.options.Dispatch != (dispatch.Settings{}) {
		return n.options.Dispatch
	}
	return dispatch.DefaultSettings()
}
