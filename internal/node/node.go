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

// Node is the process of one VM. Start and Stop must each be called once.
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
	// duties counts the goroutines that act under leases. They end before the leases are released.
	duties     sync.WaitGroup
	dutiesCtx  context.Context
	stopDuties context.CancelFunc
	ready      chan struct{}
}

// New builds a node and opens the listeners for peers and operators, so that their addresses are
// known. Nothing runs until Start.
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

// openLog sets the logger from the options, or opens one by the settings.
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

// onViolation counts and logs a violated invariant.
func (n *Node) onViolation(v invariant.Violation) {
	n.recorder.Violation(v.Name)
	n.logger.Error("invariant violated", zap.String("invariant", string(v.Name)), zap.String("detail", v.Detail))
	if n.options.OnViolation != nil {
		n.options.OnViolation(v)
	}
}

// listen opens the listeners for peers and operators.
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
	n.peerListener, n.adminListener = peers, withTLS(admin, n.options.AdminTLS)
	return nil
}

// withTLS wraps the listener with TLS unless config is nil.
func withTLS(lis net.Listener, config *tls.Config) net.Listener {
	if config == nil {
		return lis
	}
	return tls.NewListener(lis, config)
}

// Router returns the request path, for calls from within the process.
func (n *Node) Router() *router.Router { return n.router }

// Store returns the configuration store.
func (n *Node) Store() *confstore.Store { return n.store }

// Peers returns this VM's side of the peer protocol.
func (n *Node) Peers() *peer.Node { return n.peers }

// Leases returns the manager of this VM's leases.
func (n *Node) Leases() *lease.Manager { return n.leases }

// Invariants returns the registry of invariants and their violations.
func (n *Node) Invariants() *invariant.Registry { return n.invariants }

// CallersAddress returns the IP:port of the listener for callers. It is known once Start has
// returned.
func (n *Node) CallersAddress() string { return n.callersAddr }

// AdminAddress returns the IP:port of the listener for operators.
func (n *Node) AdminAddress() string { return n.adminListener.Addr().String() }

// PeerAddress returns the IP:port of the listener for peers.
func (n *Node) PeerAddress() string { return n.peerListener.Addr().String() }

// Ready returns a channel that is closed once the configuration in force has been read.
func (n *Node) Ready() <-chan struct{} { return n.ready }

func (n *Node) dispatchSettings() dispatch.Settings {
	if n.options.Dispatch != (dispatch.Settings{}) {
		return n.options.Dispatch
	}
	return dispatch.DefaultSettings()
}
