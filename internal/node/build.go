package node

import (
	"net"
	"net/http"

	"geraniumcroft/internal/adminapi"
	"geraniumcroft/internal/admission"
	"geraniumcroft/internal/api"
	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/claim"
	"geraniumcroft/internal/config"
	"geraniumcroft/internal/confstore"
	"geraniumcroft/internal/dispatch"
	"geraniumcroft/internal/drain"
	"geraniumcroft/internal/generation"
	"geraniumcroft/internal/lease"
	"geraniumcroft/internal/orders"
	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/peer"
	"geraniumcroft/internal/platform/resilient"
	"geraniumcroft/internal/roster"
	"geraniumcroft/internal/router"
	"geraniumcroft/internal/security"
	"geraniumcroft/internal/telemetry"
	"geraniumcroft/internal/watch"
)

// The duties that only the VM with the duty's lease carries out.
const (
	dutySweep   = "sweep"
	dutyCompact = "compact"
)

// duties are the names of all duties.
var duties = []string{orders.Duty, dutySweep, dutyCompact}

func (n *Node) buildPlatform() {
	s := n.settings.Platform
	// The settings hold the budget of the whole fleet. updateShares divides it by the number of VMs.
	budget := resilient.Settings{WritesPerSecond: s.WritesPerSecond, ReadsPerSecond: s.ReadsPerSecond, AttemptTimeout: s.Timeout}
	n.platform = resilient.New(n.wiring.Table, n.wiring.Objects, n.wiring.VMList, budget)
	n.store = confstore.New(confstore.Options{
		Table: n.platform, Objects: n.platform, VM: n.settings.VM.Name, Invariants: n.invariants, Logger: n.logger,
	})
}

func (n *Node) buildRequestPath() {
	s := n.settings
	n.admission = admission.New(admission.Settings{
		MaxQueued: s.Admission.MaxQueued, MaxQueuedPerWorkspace: s.Admission.MaxQueuedPerWorkspace,
	}, n.invariants)
	n.balancer = balance.New(balance.Settings{
		UrgentShare: s.Admission.UrgentHeadroom, EjectAfter: s.Targets.EjectionFailures,
		EjectFor: s.Targets.EjectionTime, MaxEjectedShare: s.Targets.EjectionMaxShare,
		OnResult: n.countResult,
	}, n.invariants)
	n.plans = router.NewPlanCache(s.VM.Name, n.balancer, n.logger)
	n.runner = generation.New(n.wiring.Engines, n.generationSettings(), n.invariants)
	n.claims = claim.New(n.platform, s.VM.Name, claim.Settings{LongestDeadline: config.MaxDeadline}, n.invariants)
	n.gate = &router.Gate{}
	n.router = router.New(router.Options{
		VM: s.VM.Name, DataCentre: s.VM.DataCentre, ConfigSource: n.store,
		Admission: n.admission, Balancer: n.balancer, Plans: n.plans, Runner: n.runner,
		Dispatcher: dispatch.New(n.wiring.Services, n.dispatchSettings(), n.invariants, n.recorder),
		Claims:     n.claims, Gate: n.gate, Authorize: security.CheckKey, Observer: observer{n.recorder, n.logger},
		Invariants: n.invariants, Logger: n.logger, Limits: n.limits(),
	})
}

func (n *Node) generationSettings() generation.Settings {
	s := n.options.Generation
	s.OnStaleEvent = n.recorder.StaleEvent
	return s
}

// countResult counts the results that say something about the target. A caller that disconnected
// and a target without a free slot do not.
func (n *Node) countResult(target string, r balance.Result) {
	switch r {
	case balance.ResultOK:
		n.recorder.TargetResult(target, true)
	case balance.ResultFailed, balance.ResultSlow:
		n.recorder.TargetResult(target, false)
	}
}

func (n *Node) limits() router.Limits {
	limits := router.DefaultLimits()
	limits.MaxBodyBytes = n.settings.Callers.MaxBodyBytes
	return limits
}

func (n *Node) buildControl() {
	s := n.settings
	n.tracker = drain.New(drain.Options{ConfigSource: n.store, OnChange: n.onLeaving, Logger: n.logger})
	n.watcher = watch.New(watch.Options{
		ConfigSource: n.store, Engines: n.wiring.Engines, Services: n.wiring.Services,
		Sink: reportSink{n.balancer, n.tracker}, IsWatched: n.isWatched, Interval: s.Targets.ReportInterval,
	})
	n.peers = peer.New(peer.Options{
		VM: s.VM.Name, DataCentre: s.VM.DataCentre, Address: n.PeerAddress(), Seeds: s.Peers.Seeds,
		Store: n.store, Load: n.balancer, Invariants: n.invariants, Logger: n.logger, TLS: n.options.PeersTLS, ClientTLS: n.options.PeersClientTLS,
		Dial: n.wiring.DialPeer,
	})
	n.roster = roster.New(n.platform, s.VM.Name, n.peers, n.logger)
	n.leases = lease.NewManager(lease.Options{
		Table: n.platform, VM: s.VM.Name, Duties: duties,
		VMs:        func() int { return n.peers.PeerCount() + 1 },
		Invariants: n.invariants, Logger: n.logger,
	})
	n.orders = orders.NewController(orders.Options{
		ConfigSource: n.store, Leases: n.leases, Engines: n.wiring.Engines,
		Drainer:   &reloadDrainer{store: announcingStore{n.store, n.peers}, confirmer: n.roster},
		IsLeaving: n.TargetLeaving,
		Refresh:   n.store.Poll,

		Invariants: n.invariants, Logger: n.logger,
	})
	n.store.Subscribe(n.onConfig)
}

// isWatched reports whether this VM sends requests to the target. That is not the case if the
// target is outside the VM's subset, which only happens in a large fleet.
func (n *Node) isWatched(target string) bool {
	_, reason := n.balancer.Usable(target)
	return reason != balance.ReasonOutsideSubset
}

// onConfig puts a configuration in force on this VM.
func (n *Node) onConfig(snapshot *config.Snapshot) {
	n.balancer.Update(snapshot)
	n.plans.Update(snapshot)
	n.tracker.Refresh()
}

// onLeaving passes the targets that are leaving to the balancer.
func (n *Node) onLeaving(causes map[string]drain.Cause) {
	leaving := make(map[string]bool, len(causes))
	for name := range causes {
		leaving[name] = true
	}
	n.balancer.SetLeaving(leaving)
}

func (n *Node) buildServers() error {
	admin, err := adminapi.New(adminapi.Options{
		Store: announcingStore{n.store, n.peers}, Confirmer: n.roster, Authenticator: n.options.Authenticator,
		VMs: func() any { return n.peers.Members() }, Leases: n.leases.Dump, Dump: n.Dump,
		Version: n.version, Logger: n.logger,
	})
	if err != nil {
		return err
	}
	n.adminServer = admin.Server()
	n.adminServer.Handler = n.withMetrics(admin)
	c := n.settings.Callers
	n.callers = api.NewServer(c.Address, n.router, api.Options{
		MaxBodyBytes: c.MaxBodyBytes, MaxHeaderBytes: c.MaxHeaderBytes, MaxConnections: c.MaxConnections,
		ReadTimeout: c.ReadTimeout, WriteTimeout: c.WriteTimeout, IdleTimeout: c.IdleTimeout,
		StreamHeadWait: c.StreamHeadWait, CommentInterval: c.CommentInterval,
		TLS: n.options.CallersTLS, Logger: n.logger, OnRefused: n.onRefused, Listen: n.callersListen(),
	})
	return nil
}

// callersListen returns the function that opens the listener of callers. It is nil for TCP, in
// which case the API opens the listener and limits the connections itself.
func (n *Node) callersListen() func(string) (net.Listener, error) {
	if n.options.Wiring == nil {
		return nil
	}
	return n.wiring.Listen
}

// withMetrics serves the metrics next to the admin API. They name workspaces and targets but
// contain no secret, so a scraper needs no token.
func (n *Node) withMetrics(admin http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", n.metrics.Handler())
	mux.Handle("/", admin)
	return mux
}

// onRefused counts and logs a request that the API has refused before it reached the router.
func (n *Node) onRefused(requestID, profile string, f *outcome.Failure) {
	n.recorder.InputRefused(f.Reason)
	telemetry.LogEnd(n.logger, telemetry.RequestEnd{
		RequestID: requestID, Profile: profile, Outcome: f.Outcome, Reason: f.Reason, Detail: f.Detail, Cause: f.Cause,
	})
}

// TargetLeaving reports whether this VM knows that the target is leaving.
func (n *Node) TargetLeaving(target string) bool { return n.tracker.Leaving()[target] != 0 }
