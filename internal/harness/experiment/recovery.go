package experiment

import (
	"context"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/harness/callclient"
	"geraniumcroft/internal/harness/standin/enginesim"
	"geraniumcroft/internal/harness/standin/servicesim"
)

const (
	maxRecoveryMS  = 1000.0
	recoveryDrafts = 24
	recoveryTokens = 80
	roundTimeout   = 30 * time.Second
	// draftFaultDelay is long enough for each draft to receive tokens before the fault,
	// callFaultDelay for each call to start.
	draftFaultDelay = 400 * time.Millisecond
	callFaultDelay  = 20 * time.Millisecond
	recoveryCalls   = 12
	recoveryPause   = 1500 * time.Millisecond
)

var recoveryPool = pool{
	layers: 16, copies: 3, slots: 16, layerRate: 8000, tokenLatency: 5 * time.Millisecond,
	instances: 3, serviceSlots: 16, serviceTime: 100 * time.Millisecond,
}

// draftFault is a fault of an engine that has drafts in progress. limit is that of the time
// to the next token, nil if there is none.
type draftFault struct {
	name   string
	inject func(*enginesim.Engine)
	repair func(*enginesim.Engine)
	limit  *Limit
}

// callFault is a fault of an instance of a service that has calls in progress.
type callFault struct {
	name    string
	profile string
	inject  func(*servicesim.Service)
	repair  func(*servicesim.Service)
}

func draftFaults() []draftFault {
	restart := func(e *enginesim.Engine) { e.Die(); _ = e.Revive() } // releases the slots held by silent connections
	revive := func(e *enginesim.Engine) { _ = e.Revive() }           // a dead engine always revives
	mute := func(on bool) func(*enginesim.Engine) {
		return func(e *enginesim.Engine) { e.SetFaults(func(f *enginesim.Faults) { f.Mute = on }) }
	}
	return []draftFault{
		{"stage killed", (*enginesim.Engine).Die, revive, atMost(maxRecoveryMS)},
		{"open connections silent", (*enginesim.Engine).GoSilent, restart, atMost(maxRecoveryMS)},
		{"engine mute on new connections too", mute(true), mute(false), nil},
	}
}

func callFaults() []callFault {
	restart := func(s *servicesim.Service) { s.Die(); _ = s.Revive() }
	revive := func(s *servicesim.Service) { _ = s.Revive() } // a dead service always revives
	return []callFault{
		{"instance killed", "report", (*servicesim.Service).Die, revive},
		{"instance silent", "report", (*servicesim.Service).GoSilent, restart},
		{"instance silent, urgent", "status", (*servicesim.Service).GoSilent, restart},
	}
}

// recovery repeatedly makes engines and instances fail while they have work. It measures the
// additional time that callers wait, beyond the time of the work itself.
func recovery(ctx context.Context, t *Trial) error {
	return measureWithBaseline(ctx, t, newRecoverySystem, (*system).recoveryPhases)
}

func newRecoverySystem(ctx context.Context) (*system, error) {
	s, err := newSystem(ctx, 2, nil)
	if err != nil {
		return nil, err
	}
	if err := s.addPool(ctx, recoveryPool); err != nil {
		return s.orClose(err)
	}
	return s.orClose(s.applyProfiles(ctx,
		generationProfile("summary", config.Normal, 20*time.Second),
		callProfile("report", config.Normal, true, 5*time.Second),
		callProfile("status", config.Urgent, true, 5*time.Second),
		callProfile("lockout", config.Urgent, false, 5*time.Second)))
}

func (s *system) recoveryPhases(ctx context.Context, t *Trial, prefix string, callers []callclient.Client) error {
	for _, fault := range draftFaults() {
		if err := s.draftRecovery(ctx, t, prefix, callers, fault); err != nil {
			return err
		}
	}
	for _, fault := range callFaults() {
		if err := s.callRecovery(ctx, t, prefix, callers, fault); err != nil {
			return err
		}
	}
	return s.lostAnswers(ctx, t, prefix, callers)
}
