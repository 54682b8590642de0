package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/census"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/platform/accounted"
	"geraniumcroft/internal/pushback"
	"geraniumcroft/internal/quarantine"
	"geraniumcroft/internal/router"
)

// Dump is the process's state on request. It holds no key and no body.
type Dump struct {
	VM            string           `json:"vm"`
	Gate          router.GateState `json:"gate"`
	InHand        int              `json:"inHand"`
	ConfigVersion uint64           `json:"configVersion"`
	ConfigAge     string           `json:"configAge"`
	VMs           []census.VM      `json:"vms"`
	// Counted says that the other VMs count this one.
	Counted        bool                     `json:"counted"`
	HoldsPlacement bool                     `json:"holdsPlacement"`
	Pools          map[string][]layers.Dump `json:"pools"`
	// Unusable are entries of discovery that name no replica to use, some of them by id,
	// with the reason; TurnedUnusable counts them since the start.
	Unusable       map[string]string `json:"unusableEntries"`
	TurnedUnusable uint64            `json:"entriesTurnedUnusable"`
	Targets        any               `json:"targets"`
	Queues         any               `json:"queues"`
	Leases         any               `json:"leases"`
	Store          any               `json:"store"`
	// StoreCalls are the calls that reached the store since the start, by their purpose.
	StoreCalls accounted.Counts `json:"storeCalls"`
	// Quarantine are the requests under which replicas have ended.
	Quarantine []quarantine.Entry `json:"quarantine"`
	// Pushback is what replicas ask of those who send to them.
	Pushback   []pushback.Entry `json:"pushback"`
	Invariants invariant.Report `json:"invariants"`
	LogDropped uint64           `json:"logLinesDropped"`
}

func (p *Process) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", p.serveMetrics)
	mux.HandleFunc("GET /dump", p.serveDump)
	mux.HandleFunc("POST /quarantine/lift/{digest}", p.serveLift)
	return mux
}

func (p *Process) serveMetrics(w http.ResponseWriter, r *http.Request) {
	p.setGauges()
	p.metrics.Handler().ServeHTTP(w, r)
}

// setGauges updates the metrics of states, which no event counts, when they are read.
func (p *Process) setGauges() {
	unusable, turned := p.view.unusableCounts()
	held := p.quarantine.Counts(time.Now())
	pushing := p.pushback.Counts(time.Now())
	for name, value := range map[string]float64{
		"ready":              asGauge(p.gate.Ready()),
		"requests_in_hand":   float64(p.handler.InHand()),
		"config_version":     float64(p.view.configVersion()),
		"config_age_seconds": min(p.view.ConfigAge(), time.Hour).Seconds(),
		"vms":                float64(len(p.census.VMs())),
		"placement_held":     asGauge(p.Holds()),
		"entries_unusable":   float64(unusable),
		// Since the start, as unlike a state it is missed between two readings.
		"entries_turned_unusable": float64(turned),
		"placement_covered":       asGauge(p.pools.Covered()),
		"store_healthy":           asGauge(p.table.Healthy()),
		"log_lines_dropped":       float64(p.LogDropped()),
		"requests_suspected":      float64(held.Suspected),
		"requests_quarantined":    float64(held.Quarantined),
		"replicas_limited":        float64(pushing.Limited),
		"replicas_backing_off":    float64(pushing.BackingOff),
		"replicas_leaving":        float64(pushing.Leaving),
	} {
		p.metrics.Gauge(name).Update(value)
	}
}

func asGauge(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

func (p *Process) serveDump(w http.ResponseWriter, _ *http.Request) {
	dump := Dump{
		VM: p.Settings.VM.Name, Gate: p.gate.State(), InHand: p.handler.InHand(), ConfigVersion: p.view.configVersion(), ConfigAge: p.view.ConfigAge().String(),
		VMs: p.census.VMs(), Counted: p.census.Counted(time.Now()), HoldsPlacement: p.Holds(), Pools: p.pools.Dump(), Targets: p.balancer.Dump(),
		Queues: p.admission.Dump(), Leases: p.leases.Dump(), Store: p.table.Dump(), StoreCalls: p.store.Counts(), Invariants: p.invariants.Report(),
		LogDropped: p.LogDropped(), Quarantine: p.quarantine.Dump(time.Now()), Pushback: p.pushback.Dump(time.Now()),
	}
	dump.Unusable, dump.TurnedUnusable = p.view.unusableEntries()
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(dump); err != nil {
		p.Logger.Debug("dump not sent", zap.Error(err))
	}
}

// serveLift lifts a request from quarantine on all VMs.
func (p *Process) serveLift(w http.ResponseWriter, r *http.Request) {
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
