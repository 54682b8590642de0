package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/census"
	"geraniumcroft/internal/dispatch"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/platform/accounted"
	"geraniumcroft/internal/pushback"
	"geraniumcroft/internal/quarantine"
	"geraniumcroft/internal/reach"
	"geraniumcroft/internal/relay"
	"geraniumcroft/internal/router"
)

// Dump is a snapshot of the process's state for operators. It contains no API key and no
// request body.
type Dump struct {
	VM            string           `json:"vm"`
	Gate          router.GateState `json:"gate"`
	InHand        int              `json:"inHand"`
	ConfigVersion uint64           `json:"configVersion"`
	ConfigAge     string           `json:"configAge"`
	// StoreEra is the newest era of the store that this VM has heard of.
	StoreEra uint64      `json:"storeEra"`
	VMs      []census.VM `json:"vms"`
	// Counted reports whether the other VMs count this one as a member of the fleet.
	Counted        bool                     `json:"counted"`
	HoldsPlacement bool                     `json:"holdsPlacement"`
	Pools          map[string][]layers.Dump `json:"pools"`
	// Unusable maps the ids of discovery entries that can't be used to the reason; it holds
	// only some of them. UnusableTotal counts the entries that became unusable since the start.
	Unusable      map[string]string `json:"unusableEntries"`
	UnusableTotal uint64            `json:"entriesTurnedUnusable"`
	Targets       any               `json:"targets"`
	Queues        any               `json:"queues"`
	Leases        any               `json:"leases"`
	Store         any               `json:"store"`
	// StoreCalls counts the calls that reached the store since the start, by purpose.
	StoreCalls accounted.Counts `json:"storeCalls"`
	// Quarantine lists the requests, and the parts of their prompts, that were running on replicas when these
	// crashed.
	Quarantine []quarantine.Entry `json:"quarantine"`
	// Pushback lists the rate limits, back-off times and announced departures of replicas.
	Pushback []pushback.Entry `json:"pushback"`
	// RetryBudgets has the requests, the retries and the limit of each service in the current window.
	RetryBudgets map[string]dispatch.BudgetUsage `json:"retryBudgets"`
	// BodyMemory is the memory of the bodies of requests and answers.
	BodyMemory relay.BodyMemoryUsage `json:"bodyMemory"`
	// Reach is whether this VM reaches the replicas, ThroughPeers the number of its connections to them
	// through each peer, and PassedOn the number of peers' connections that it passes on.
	Reach        reach.Dump     `json:"reach"`
	ThroughPeers map[string]int `json:"connectionsThroughPeers"`
	PassedOn     int            `json:"connectionsPassedOn"`
	// Allocator is the VM that allocates paths to this one, Allocations what this VM allocates to others, nil
	// without overload control.
	Allocator   string           `json:"allocator,omitempty"`
	Allocations *allocationsDump `json:"allocations,omitempty"`

	Invariants invariant.Report `json:"invariants"`
	LogDropped uint64           `json:"logLinesDropped"`
}

func (p *Process) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", p.serveMetrics)
	mux.HandleFunc("GET /dump", p.serveDump)
	mux.HandleFunc("POST /quarantine/lift/{digest}", p.serveQuarantineLift)
	return mux
}

func (p *Process) serveMetrics(w http.ResponseWriter, r *http.Request) {
	p.setGauges()
	p.metrics.Handler().ServeHTTP(w, r)
}

// setGauges sets the metrics that describe the current state. It runs when the metrics are
// read, as no event updates them.
func (p *Process) setGauges() {
	unusable, unusableTotal := p.view.unusableCounts()
	requests, parts := p.quarantine.Counts(time.Now())
	replicas := p.pushback.Counts(time.Now())
	for name, value := range map[string]float64{
		"ready":              gaugeOf(p.gate.Ready()),
		"requests_in_hand":   float64(p.handler.InHand()),
		"body_memory_bytes":  float64(p.handler.BodyMemory().Used),
		"config_version":     float64(p.view.configVersion()),
		"store_era":          float64(p.Adapter.Eras.Current()),
		"config_age_seconds": min(p.view.ConfigAge(), time.Hour).Seconds(),
		"vms":                float64(len(p.census.VMs())),
		"placement_held":     gaugeOf(p.Holds()),
		"entries_unusable":   float64(unusable),
		// A total since the start: a short change of state between two readings would be missed.
		"entries_turned_unusable": float64(unusableTotal),
		"placement_covered":       gaugeOf(p.pools.Covered()),
		"store_healthy":           gaugeOf(p.table.Healthy()),
		"log_lines_dropped":       float64(p.LogDropped()),
		"requests_suspected":      float64(requests.Suspected),
		"processor_pressure":      p.processorLoad.Pressure(),
		"connections_declined":    float64(p.accepting.Declined()),
		"requests_quarantined":    float64(requests.Quarantined),
		"parts_suspected":         float64(parts.Suspected),
		"parts_quarantined":       float64(parts.Quarantined),
		"replicas_limited":        float64(replicas.Limited),
		"replicas_backing_off":    float64(replicas.BackingOff),
		"connections_passed_on":   float64(p.hopServer.Active()),
		"replicas_detoured":       float64(p.routes.Detours(time.Now())),
		"replicas_unreached":      gaugeOf(p.reach.CutOff()),
		"replicas_leaving":        float64(replicas.Leaving),
		"allocator_sessions":      float64(p.allocatorServer.Dump().Sessions),
		"allocator_paths":         float64(p.allocatorServer.Dump().Held),
	} {
		p.metrics.Gauge(name).Update(value)
	}
}

func gaugeOf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

func (p *Process) serveDump(w http.ResponseWriter, _ *http.Request) {
	dump := Dump{
		VM: p.Settings.VM.Name, Gate: p.gate.State(), InHand: p.handler.InHand(), ConfigVersion: p.view.configVersion(), ConfigAge: p.view.ConfigAge().String(),
		StoreEra: p.Adapter.Eras.Current(),
		VMs:      p.census.VMs(), Counted: p.census.Counted(), HoldsPlacement: p.Holds(), Pools: p.pools.Dump(), Targets: p.balancer.Dump(),
		Queues: p.admission.Dump(), Leases: p.leases.Dump(), Store: p.table.Dump(), StoreCalls: p.store.Counts(), Invariants: p.invariants.Report(),
		LogDropped: p.LogDropped(), Quarantine: p.quarantine.Dump(time.Now()), Pushback: p.pushback.Dump(time.Now()), RetryBudgets: p.retryBudgets.Usage(), BodyMemory: p.handler.BodyMemory(), Reach: p.reach.Dump(), ThroughPeers: p.hopPeers.Active(), PassedOn: p.hopServer.Active(),
	}
	dump.Allocator, dump.Allocations = p.allocator.Allocator(), p.dumpAllocations()
	dump.Unusable, dump.UnusableTotal = p.view.unusableEntries()
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(dump); err != nil {
		p.Logger.Debug("dump not sent", zap.Error(err))
	}
}

// serveQuarantineLift removes a request from the quarantine on all VMs.
func (p *Process) serveQuarantineLift(w http.ResponseWriter, r *http.Request) {
	digest, err := quarantine.ParseDigest(r.PathValue("digest"))
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	case !p.sharing.Lift(digest):
		http.Error(w, "nothing is held against this request", http.StatusNotFound)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}
